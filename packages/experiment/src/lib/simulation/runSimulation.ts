import { createRandom, exhaustiveSwitchError, getHash, ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { Deployment } from '../deployments/Deployment.js';
import { drainMicrotasks } from '../measure/advanceClock.js';
import type { PolicyFactory } from '../policies/Policy.js';
import type { Fault, Scenario } from '../scenarios/Scenario.js';
import { createCalls } from '../workload/createCalls.js';
import type { CallRecord } from './CallRecord.js';
import { Callers } from './Callers.js';
import type { Violations } from './Callers.js';
import { DaemonModel } from './DaemonModel.js';
import { Fleet } from './Fleet.js';

/** After the last call arrived, what is open may take this long to end. */
const DRAIN_SPAN: Milliseconds = 120_000;

/** How long the instance list takes to notice a crash or a restart. */
const LIST_LAG: Milliseconds = 5_000;

/** What one run gave. */
export interface SimulationResult {
  records: CallRecord[];
  violations: Violations;
  /** When callers stopped calling. */
  span: Milliseconds;
}

/** What to run. */
export interface SimulationRun {
  deployment: Deployment;
  scenario: Scenario;
  factory: PolicyFactory;
  seed: number;
}

interface World {
  clock: ManualClock;
  fleet: Fleet;
  callers: Callers;
  daemons: DaemonModel[];
}

function announceReplicas({ fleet, daemons }: World): void {
  const replicas = fleet.getReplicas().filter(({ id }) => fleet.isAlive(id));
  daemons.forEach(({ policy }) => policy.handle({ kind: 'replicas', replicas }));
}

function applyFault(world: World, fault: Fault): void {
  const { fleet, daemons, clock } = world;
  switch (fault.kind) {
    case 'slow':
      fleet.setSlowFactor(fault.replica, fault.factor);
      return;
    case 'report-lag':
      fleet.setReportLag(fault.lag);
      return;
    case 'crash':
      fleet.crash(fault.replica);
      clock.setTimer(LIST_LAG, () => announceReplicas(world));
      return;
    case 'restart':
      fleet.restart(fault.replica);
      clock.setTimer(LIST_LAG, () => announceReplicas(world));
      return;
    case 'silence':
      daemons[fault.daemon]!.silencePath(fault.replica);
      return;
    default:
      throw exhaustiveSwitchError(fault);
  }
}

function createWorld({ deployment, scenario, factory, seed }: SimulationRun): World {
  const clock = new ManualClock();
  const callers = new Callers({
    clock,
    random: createRandom(getHash('callers', seed)),
    classes: deployment.configuration.rules.classes,
    callerDelay: deployment.callerDelay,
    span: scenario.span,
  });
  const fleet = new Fleet(clock, deployment, ({ key, units, finished }) =>
    callers.addComputed(key, units, finished),
  );
  const names = Array.from({ length: deployment.daemons }, (_, index) => `daemon-${index}`);
  const daemons = names.map(
    (name) =>
      new DaemonModel({
        clock,
        random: createRandom(getHash(name, seed)),
        fleet,
        networkDelay: deployment.networkDelay,
        factory,
        listener: callers,
      }),
  );
  daemons.forEach(({ policy }, index) =>
    policy.handle({ kind: 'daemons', self: names[index]!, daemons: names }),
  );
  return { clock, fleet, callers, daemons };
}

/**
 * Runs one policy through one scenario on a clock of its own.
 *
 * @param run - the deployment, the scenario, the scheduler to try and the seed
 * @returns a record of each call and what must never happen, counted
 * @example
 * ```ts
 * const { records } = await runSimulation({ deployment, scenario, factory, seed: 1 });
 * ```
 * @public
 */
export async function runSimulation(run: SimulationRun): Promise<SimulationResult> {
  const { deployment, scenario, seed } = run;
  const { span, curve } = scenario;
  const world = createWorld(run);
  const { clock, callers, daemons } = world;
  announceReplicas(world);
  scenario.faults.forEach(({ at, fault }) => clock.setTimer(at, () => applyFault(world, fault)));
  callers.start(createCalls(deployment, { seed, span, curve }), daemons);
  while (callers.open > 0 && clock.runNext(span + DRAIN_SPAN)) {
    // eslint-disable-next-line no-await-in-loop
    await drainMicrotasks();
  }
  daemons.forEach(({ policy }) => policy.dispose());
  return { records: [...callers.records.values()], violations: callers.violations, span };
}
