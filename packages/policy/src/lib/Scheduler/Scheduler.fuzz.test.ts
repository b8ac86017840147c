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

/** Sends a message to both, and has the oracle check the resulting effects. */
function sendToBoth(oracle: SchedulerOracle, harness: Harness, message: SchedulerMessage): void {
  oracle.recordMessage(message);
  harness.send(message).forEach((effect) => oracle.checkEffect(effect, harness.clock.now()));
  oracle.checkPreemptionsUsed();
}

/** Advances the clock one timer at a time, so that each effect is checked at its own time. */
function advanceBoth(oracle: SchedulerOracle, harness: Harness, span: Milliseconds): void {
  const until = harness.clock.now() + span;
  let checked = harness.effects.length;
  while (harness.clock.runNext(until)) {
    harness.effects
      .slice(checked)
      .forEach((effect) => oracle.checkEffect(effect, harness.clock.now()));
    checked = harness.effects.length;
    oracle.checkPreemptionsUsed();
  }
  harness.clock.advance(until - harness.clock.now());
}

/** Ends the running attempt of one of the running requests. */
function endRunningAttempt(
  oracle: SchedulerOracle,
  harness: Harness,
  pick: number,
  end: AttemptStatus,
): void {
  const now = harness.clock.now();
  const running = oracle
    .getUnfinished()
    .filter((story) => oracle.getLiveAttempt(story, now) !== undefined);
  const story = running[pick % running.length];
  if (story !== undefined) {
    const { number } = oracle.getLiveAttempt(story, now)!;
    const { id } = story.request;
    sendToBoth(oracle, harness, { kind: 'attempt-ended', id, attempt: number, end });
  }
}

function createCommand(
  name: string,
  run: (oracle: SchedulerOracle, harness: Harness) => void,
): SchedulerCommand {
  return { check: () => true, run, toString: () => name };
}

function createMessageCommand(message: SchedulerMessage): SchedulerCommand {
  return createCommand(JSON.stringify(message), (oracle, harness) =>
    sendToBoth(oracle, harness, message),
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
      const id = `${className}-${oracle.histories.size + 1}`;
      const arrivedAt = harness.clock.now();
      const rules = { workspace, model, prefixHash, arrivedAt };
      const request = createRequest(id, classes[className], rules);
      sendToBoth(oracle, harness, { kind: 'submit', request });
    }),
  );

const progress = fc.tuple(fc.nat(), fc.integer({ min: 1, max: 40 })).map(([pick, tokens]) =>
  createCommand(`progress ${pick} ${tokens}`, (oracle, harness) => {
    const now = harness.clock.now();
    const running = oracle
      .getUnfinished()
      .filter((story) => oracle.getLiveAttempt(story, now) !== undefined);
    const story = running[pick % running.length];
    if (story !== undefined) {
      const attempt = oracle.getLiveAttempt(story, now)!.number;
      sendToBoth(oracle, harness, { kind: 'progress', id: story.request.id, attempt, tokens });
    }
  }),
);

const endAttempt = fc
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
  .map(([pick, status]) =>
    createCommand(`end ${pick} ${status}`, (oracle, harness) =>
      endRunningAttempt(oracle, harness, pick, status),
    ),
  );

const callerLeft = fc.nat().map((pick) =>
  createCommand(`caller-left ${pick}`, (oracle, harness) => {
    const open = oracle.getUnfinished();
    if (open.length > 0) {
      const { id } = open[pick % open.length]!.request;
      sendToBoth(oracle, harness, { kind: 'caller-left', id });
    }
  }),
);

const advance = fc
  .integer({ min: 1, max: 4000 })
  .map((duration) =>
    createCommand(`advance ${duration}`, (oracle, harness) =>
      advanceBoth(oracle, harness, duration),
    ),
  );

const report = fc
  .record({ replica: fc.constantFrom(...REPLICAS), load: fc.nat(4), age: fc.nat(3000) })
  .map(({ replica, load, age }) =>
    createCommand(`report ${replica} ${load} ${age}`, (oracle, harness) => {
      const measuredAt = harness.clock.now() - age;
      const loadReport = { replica, running: load, waiting: 0, measuredAt };
      sendToBoth(oracle, harness, { kind: 'load-report', report: loadReport });
    }),
  );

const replicas = fc.subarray(REPLICAS, { minLength: 0 }).chain((ids) =>
  fc.constantFrom<string[]>([], ['laaja@1'], ['nopea@2', 'laaja@1']).map((placement) =>
    createMessageCommand({
      kind: 'replicas',
      replicas: ids.map((id, index) => createReplica(id, { placement, slots: index + 1 })),
    }),
  ),
);

const daemons = fc
  .subarray(DAEMONS, { minLength: 1 })
  .map((ids) => createMessageCommand({ kind: 'daemons', self: ids[0]!, daemons: ids }));

const replicaEvent = fc
  .tuple(
    fc.constantFrom(...REPLICAS),
    fc.constantFrom(
      'replica-leaving' as const,
      'replica-returned' as const,
      'replica-returned' as const,
      'path-silent' as const,
    ),
  )
  .map(([replica, kind]) => createMessageCommand({ kind, replica }));

/** Commands for all messages and for the passing of time; frequent ones are listed repeatedly. */
const schedulerCommands: fc.Arbitrary<SchedulerCommand>[] = [
  submit,
  submit,
  submit,
  progress,
  progress,
  endAttempt,
  endAttempt,
  callerLeft,
  advance,
  report,
  replicas,
  daemons,
  replicaEvent,
  fc.constant(createMessageCommand({ kind: 'drain' })),
];

const NUM_RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 400);

const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_260_401);

const OPTIONS = { cancelGrace: 250, maxPreemptions: 2 };

/** Rounds in which one running attempt completes each; far more than there can be requests. */
const MAX_ROUNDS = 200;

function finishAll(oracle: SchedulerOracle, harness: Harness): void {
  sendToBoth(oracle, harness, { kind: 'replica-returned', replica: 'replica-1' });
  sendToBoth(oracle, harness, { kind: 'replicas', replicas: [createReplica('replica-1')] });
  for (let round = 0; round < MAX_ROUNDS && oracle.getUnfinished().length > 0; round += 1) {
    endRunningAttempt(oracle, harness, round, AttemptStatus.Completed);
    advanceBoth(oracle, harness, 100);
  }
}

describe('Scheduler under arbitrary messages', () => {
  it('satisfies all invariants of the oracle and ends every request exactly once', () => {
    const commands = fc.commands(schedulerCommands, { maxCommands: 120, size: 'max' });
    const property = fc.property(commands, (sequence) => {
      const oracle = new SchedulerOracle(OPTIONS);
      const harness = new Harness({ options: { ...OPTIONS, maxWaitingPerClass: 3 }, replicas: 2 });
      oracle.listed.add('replica-1').add('replica-2');
      fc.modelRun(() => ({ model: oracle, real: harness }), sequence);
      finishAll(oracle, harness);
      expect(oracle.getUnfinished()).toEqual([]);
      expect(harness.scheduler.getSnapshot()).toMatchObject({ waiting: 0, running: 0 });
    });
    fc.assert(property, { numRuns: NUM_RUNS, seed: SEED });
  });
});
