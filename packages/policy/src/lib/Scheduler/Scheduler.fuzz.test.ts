import type { Milliseconds } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { classes, createReplica, createRequest } from '../../test/fixtures.js';
import { Harness } from '../../test/Harness.js';
import { SchedulerOracle } from '../../test/SchedulerOracle.js';
import { AttemptStatus } from '../messages.js';
import type { SchedulerMessage } from '../messages.js';

type SchedulerCommand = fc.Command<SchedulerOracle, Harness>;

const REPLICAS = ['replica-1', 'replica-2', 'replica-3'];

const DAEMONS = ['daemon-1', 'daemon-2', 'daemon-3'];

/** Tells both, and has the oracle check what came of it. */
function tellBoth(oracle: SchedulerOracle, harness: Harness, message: SchedulerMessage): void {
  oracle.hear(message);
  harness.tell(message).forEach((effect) => oracle.check(effect, harness.clock.now()));
  oracle.checkRest();
}

/** Moves time timer by timer, so that each effect is checked at its own time. */
function advanceBoth(oracle: SchedulerOracle, harness: Harness, span: Milliseconds): void {
  const until = harness.clock.now() + span;
  let checked = harness.effects.length;
  while (harness.clock.runNext(until)) {
    harness.effects.slice(checked).forEach((effect) => oracle.check(effect, harness.clock.now()));
    checked = harness.effects.length;
    oracle.checkRest();
  }
  harness.clock.advance(until - harness.clock.now());
}

/** Ends the live attempt of some request. */
function endLive(
  oracle: SchedulerOracle,
  harness: Harness,
  pick: number,
  end: AttemptStatus,
): void {
  const now = harness.clock.now();
  const running = oracle.getOpen().filter((story) => oracle.getLive(story, now) !== undefined);
  const story = running[pick % running.length];
  if (story !== undefined) {
    const { number } = oracle.getLive(story, now)!;
    const { id } = story.request;
    tellBoth(oracle, harness, { kind: 'attempt-ended', id, attempt: number, end });
  }
}

function createCommand(
  name: string,
  run: (oracle: SchedulerOracle, harness: Harness) => void,
): SchedulerCommand {
  return { check: () => true, run, toString: () => name };
}

function createTelling(message: SchedulerMessage): SchedulerCommand {
  return createCommand(JSON.stringify(message), (oracle, harness) =>
    tellBoth(oracle, harness, message),
  );
}

const submit = fc
  .record({
    className: fc.constantFrom(...(Object.keys(classes) as (keyof typeof classes)[])),
    workspace: fc.constantFrom('painotalo', 'kirjapaino', 'offset'),
    model: fc.constantFrom('laaja', 'nopea'),
    prefixHash: fc.option(fc.nat(3), { nil: undefined }),
  })
  .map(({ className, workspace, model, prefixHash }) =>
    createCommand(`submit ${className} ${workspace} ${model}`, (oracle, harness) => {
      const id = `${className}-${oracle.stories.size + 1}`;
      const arrived = harness.clock.now();
      const rules = { workspace, model, prefixHash, arrived };
      const request = createRequest(id, classes[className], rules);
      tellBoth(oracle, harness, { kind: 'submit', request });
    }),
  );

const progress = fc.tuple(fc.nat(), fc.integer({ min: 1, max: 40 })).map(([pick, tokens]) =>
  createCommand(`progress ${pick} ${tokens}`, (oracle, harness) => {
    const now = harness.clock.now();
    const running = oracle.getOpen().filter((story) => oracle.getLive(story, now) !== undefined);
    const story = running[pick % running.length];
    if (story !== undefined) {
      const attempt = oracle.getLive(story, now)!.number;
      tellBoth(oracle, harness, { kind: 'progress', id: story.request.id, attempt, tokens });
    }
  }),
);

const end = fc
  .tuple(
    fc.nat(),
    fc.constantFrom(
      AttemptStatus.Completed,
      AttemptStatus.Completed,
      AttemptStatus.NotSent,
      AttemptStatus.Refused,
      AttemptStatus.Broken,
      AttemptStatus.Errored,
      AttemptStatus.Cancelled,
    ),
  )
  .map(([pick, how]) =>
    createCommand(`end ${pick} ${how}`, (oracle, harness) => endLive(oracle, harness, pick, how)),
  );

const callerLeft = fc.nat().map((pick) =>
  createCommand(`caller-left ${pick}`, (oracle, harness) => {
    const open = oracle.getOpen();
    if (open.length > 0) {
      const { id } = open[pick % open.length]!.request;
      tellBoth(oracle, harness, { kind: 'caller-left', id });
    }
  }),
);

const advance = fc
  .integer({ min: 1, max: 4000 })
  .map((span) =>
    createCommand(`advance ${span}`, (oracle, harness) => advanceBoth(oracle, harness, span)),
  );

const report = fc
  .record({ replica: fc.constantFrom(...REPLICAS), load: fc.nat(4), age: fc.nat(3000) })
  .map(({ replica, load, age }) =>
    createCommand(`report ${replica} ${load} ${age}`, (oracle, harness) => {
      const measuredAt = harness.clock.now() - age;
      const loadReport = { replica, running: load, waiting: 0, measuredAt };
      tellBoth(oracle, harness, { kind: 'load-report', report: loadReport });
    }),
  );

const replicas = fc.subarray(REPLICAS, { minLength: 0 }).chain((ids) =>
  fc.constantFrom<string[]>([], ['laaja@1'], ['nopea@2', 'laaja@1']).map((placement) =>
    createTelling({
      kind: 'replicas',
      replicas: ids.map((id, index) => createReplica(id, { placement, slots: index + 1 })),
    }),
  ),
);

const daemons = fc
  .subarray(DAEMONS, { minLength: 1 })
  .map((ids) => createTelling({ kind: 'daemons', self: ids[0]!, daemons: ids }));

const onReplica = fc
  .tuple(
    fc.constantFrom(...REPLICAS),
    fc.constantFrom(
      'replica-leaving' as const,
      'replica-returned' as const,
      'replica-returned' as const,
      'path-silent' as const,
    ),
  )
  .map(([replica, kind]) => createTelling({ kind, replica }));

/** Every kind of message and the passing of time, the ordinary ones more often. */
const schedulerCommands: fc.Arbitrary<SchedulerCommand>[] = [
  submit,
  submit,
  submit,
  progress,
  progress,
  end,
  end,
  callerLeft,
  advance,
  report,
  replicas,
  daemons,
  onReplica,
  fc.constant(createTelling({ kind: 'drain' })),
];

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 400);

const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_260_401);

const RULES = { cancelGrace: 250, maxPreemptions: 2 };

/** Rounds in which everything that runs completes; far more than there can be requests. */
const ROUNDS = 200;

function finish(oracle: SchedulerOracle, harness: Harness): void {
  tellBoth(oracle, harness, { kind: 'replica-returned', replica: 'replica-1' });
  tellBoth(oracle, harness, { kind: 'replicas', replicas: [createReplica('replica-1')] });
  for (let round = 0; round < ROUNDS && oracle.getOpen().length > 0; round += 1) {
    endLive(oracle, harness, round, AttemptStatus.Completed);
    advanceBoth(oracle, harness, 100);
  }
}

describe('Scheduler under arbitrary messages', () => {
  it('keeps every promise of the oracle and ends every request once', () => {
    const commands = fc.commands(schedulerCommands, { maxCommands: 120, size: 'max' });
    const property = fc.property(commands, (sequence) => {
      const oracle = new SchedulerOracle(RULES);
      const harness = new Harness({ options: { ...RULES, maxWaitingPerClass: 3 }, replicas: 2 });
      oracle.listed.add('replica-1').add('replica-2');
      fc.modelRun(() => ({ model: oracle, real: harness }), sequence);
      finish(oracle, harness);
      expect(oracle.getOpen()).toEqual([]);
      expect(harness.scheduler.getSnapshot()).toMatchObject({ waiting: 0, running: 0 });
    });
    fc.assert(property, { numRuns: RUNS, seed: SEED });
  });
});
