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

/** Maximum time that open calls get to end after callers have stopped calling. */
const MAX_DRAIN_DURATION: Milliseconds = 120_000;

/** Delay until the instance list reflects a crash or a restart. */
const INSTANCE_LIST_DELAY: Milliseconds = 5_000;

/** The result of one run. */
export interface SimulationResult {
  records: CallRecord[];
  violations: Violations;
  /** Time at which callers stopped calling. */
  span: Milliseconds;
}

/** The settings of one run. */
export interface SimulationRun {
  deployment: Deployment;
  scenario: Scenario;
  factory: PolicyFactory;
  seed: number;
}

interface Simulation {
  clock: ManualClock;
  fleet: Fleet;
  callers: Callers;
  daemons: DaemonModel[];
}

function announceReplicas({ fleet, daemons }: Simulation): void {
  const replicas = fleet.getReplicas().filter(({ id }) => fleet.isAlive(id));
  daemons.forEach(({ policy }) => policy.handle({ kind: 'replicas', replicas }));
}

function applyFault(simulation: Simulation, fault: Fault): void {
  const { fleet, daemons, clock } = simulation;
  switch (fault.kind) {
    case 'slow':
      fleet.setSlowFactor(fault.replica, fault.factor);
      return;
    case 'report-lag':
      fleet.setReportLag(fault.lag);
      return;
    case 'crash':
      fleet.crash(fault.replica);
      clock.setTimer(INSTANCE_LIST_DELAY, () => announceReplicas(simulation));
      return;
    case 'restart':
      fleet.restart(fault.replica);
      clock.setTimer(INSTANCE_LIST_DELAY, () => announceReplicas(simulation));
      return;
    case 'silence':
      daemons[fault.daemon]!.silenceConnections(fault.replica);
      return;
    default:
      throw exhaustiveSwitchError(fault);
  }
}

function createSimulation({ deployment, scenario, factory, seed }: SimulationRun): Simulation {
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
 * Simulates one policy in one scenario, on a manual clock of its own.
 *
 * @param run - the deployment, the scenario, the factory of the scheduler and the seed
 * @returns a record of each call, and the number of violations of each invariant
 * @example
 * ```ts
 * const { records } = await runSimulation({ deployment, scenario, factory, seed: 1 });
 * ```
 * @public
 */
export async function runSimulation(run: SimulationRun): Promise<SimulationResult> {
  const { deployment, scenario, seed } = run;
  const { span, curve } = scenario;
  const simulation = createSimulation(run);
  const { clock, callers, daemons } = simulation;
  announceReplicas(simulation);
  scenario.faults.forEach(({ at, fault }) =>
    clock.setTimer(at, () => applyFault(simulation, fault)),
  );
  callers.start(createCalls(deployment, { seed, span, curve }), daemons);
  while (callers.open > 0 && clock.runNext(span + MAX_DRAIN_DURATION)) {
    // eslint-disable-next-line no-await-in-loop
    await drainMicrotasks();
  }
  daemons.forEach(({ policy }) => policy.dispose());
  return { records: [...callers.records.values()], violations: callers.violations, span };
}
