import type { Milliseconds } from '@apricotrill/utils';
import type { Deployment } from '../deployments/Deployment.js';
import type { LoadCurve } from '../workload/createCalls.js';

/** A fault that is injected into a run. */
export type Fault =
  | { kind: 'slow'; replica: string; factor: number }
  | { kind: 'report-lag'; lag: Milliseconds }
  | { kind: 'crash'; replica: string }
  | { kind: 'restart'; replica: string }
  /** All existing connections of a daemon to a replica stop delivering; new connections work. */
  | { kind: 'silence'; daemon: number; replica: string };

/** A fault and the time at which it is injected. */
export interface TimedFault {
  at: Milliseconds;
  fault: Fault;
}

/**
 * The load over time and the injected faults.
 *
 * @public
 */
export interface Scenario {
  name: string;
  /** Time during which callers start new calls. */
  span: Milliseconds;
  curve: LoadCurve;
  faults: TimedFault[];
}

/** Creates a scenario for a deployment. */
export type ScenarioFactory = (deployment: Deployment) => Scenario;
