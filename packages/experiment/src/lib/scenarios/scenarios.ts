import { ServiceKind } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { Deployment, TrafficProfile } from '../deployments/Deployment.js';
import type { LoadCurve } from '../workload/createCalls.js';
import type { Scenario, ScenarioFactory, TimedFault } from './Scenario.js';

/** Time during which callers start new calls, in each scenario. */
const SPAN: Milliseconds = 60_000;

const FAULT_START: Milliseconds = 20_000;

const FAULT_END: Milliseconds = 40_000;

/** Calm load, as a fraction of the capacity. */
const CALM_LOAD = { chat: 0.6, plain: 0.1 };

/** Load of the plain services during a burst at the engines, as a fraction of their capacity. */
const BUSY_PLAIN_LOAD = 0.2;

/** Duration of the burst of urgent calls; short because there are thousands of them a second. */
const URGENT_BURST_SPAN: Milliseconds = 5_000;

/** Demand during a burst, as a multiple of the capacity. */
const BURST_LOAD = 2;

const STRAGGLER_FACTOR = 5;

const REPORT_LAG: Milliseconds = 8_000;

const calmCurve: LoadCurve = ({ shape }) => CALM_LOAD[shape.kind];

function isInBurst(at: Milliseconds): boolean {
  return at >= FAULT_START && at < FAULT_END;
}

/** The load of the bursting class at which the total demand on its service is `BURST_LOAD`. */
function getBurstLoad({ share, shape }: TrafficProfile): number {
  return (BURST_LOAD - CALM_LOAD[shape.kind] * (1 - share)) / share;
}

function isBurstClass(deployment: Deployment, { service, className }: TrafficProfile): boolean {
  return deployment.burstClass[service] === className;
}

/**
 * Demand for long answers rises to twice the capacity of the engines, and the load of the plain
 * services rises too, within their capacity: they have urgent classes only, and no policy can meet
 * a target when one class alone exceeds the capacity. `createUrgentBurstCurve` covers that case.
 */
function createBurstCurve(deployment: Deployment): LoadCurve {
  return (profile, at) => {
    if (!isInBurst(at)) {
      return calmCurve(profile, at);
    }
    if (profile.shape.kind === 'plain') {
      return BUSY_PLAIN_LOAD;
    }
    return isBurstClass(deployment, profile) ? getBurstLoad(profile) : CALM_LOAD.chat;
  };
}

/** Demand of one urgent class raises the load of its plain service to twice the capacity. */
function createUrgentBurstCurve(deployment: Deployment): LoadCurve {
  return (profile, at) => {
    const isBursting = profile.shape.kind === 'plain' && isBurstClass(deployment, profile);
    const isInUrgentBurst = at >= FAULT_START && at < FAULT_START + URGENT_BURST_SPAN;
    return isBursting && isInUrgentBurst ? getBurstLoad(profile) : calmCurve(profile, at);
  };
}

function getReplicas(deployment: Deployment, kind: ServiceKind): string[] {
  const { services, replicas } = deployment.configuration.register;
  const names = services.filter((service) => service.kind === kind).map(({ name }) => name);
  return replicas.filter(({ service }) => names.includes(service)).map(({ id }) => id);
}

/** One engine and one plain replica become slow, without any sign of it in their reports. */
function createStragglers(deployment: Deployment): TimedFault[] {
  const kinds = [ServiceKind.Model, ServiceKind.Plain];
  const replicas = kinds.map((kind) => getReplicas(deployment, kind)[1]!);
  return replicas.flatMap((replica): TimedFault[] => [
    { at: FAULT_START, fault: { kind: 'slow', replica, factor: STRAGGLER_FACTOR } },
    { at: FAULT_END, fault: { kind: 'slow', replica, factor: 1 } },
  ]);
}

function createCrash(deployment: Deployment): TimedFault[] {
  const replica = getReplicas(deployment, ServiceKind.Model)[2]!;
  return [
    { at: FAULT_START, fault: { kind: 'crash', replica } },
    { at: FAULT_END, fault: { kind: 'restart', replica } },
  ];
}

/** Connections of two daemons to an engine go silent, and those of one to a plain service. */
function createSilentConnections(deployment: Deployment): TimedFault[] {
  const engine = getReplicas(deployment, ServiceKind.Model)[0]!;
  const service = getReplicas(deployment, ServiceKind.Plain)[0]!;
  return [
    { at: FAULT_START, fault: { kind: 'silence', daemon: 0, replica: engine } },
    { at: FAULT_START, fault: { kind: 'silence', daemon: 1, replica: engine } },
    { at: FAULT_START, fault: { kind: 'silence', daemon: 0, replica: service } },
  ];
}

const lag: TimedFault = { at: 0, fault: { kind: 'report-lag', lag: REPORT_LAG } };

function createCalm(name: string, faults: TimedFault[]): Scenario {
  return { name, span: SPAN, curve: calmCurve, faults };
}

/**
 * The scenarios of the experiment, in the order they are reported.
 *
 * @public
 */
export const scenarios: Record<string, ScenarioFactory> = {
  calm: () => createCalm('calm', []),
  burst: (deployment) => ({
    name: 'burst',
    span: SPAN,
    curve: createBurstCurve(deployment),
    faults: [],
  }),
  'urgent-burst': (deployment) => ({
    name: 'urgent-burst',
    span: SPAN,
    curve: createUrgentBurstCurve(deployment),
    faults: [],
  }),
  straggler: (deployment) => createCalm('straggler', createStragglers(deployment)),
  'lagging-reports': () => createCalm('lagging-reports', [lag]),
  'engine-crash': (deployment) => createCalm('engine-crash', createCrash(deployment)),
  'silent-path': (deployment) => createCalm('silent-path', createSilentConnections(deployment)),
  'bad-day': (deployment) => ({
    name: 'bad-day',
    span: SPAN,
    curve: createBurstCurve(deployment),
    faults: [
      lag,
      ...createStragglers(deployment),
      ...createCrash(deployment),
      ...createSilentConnections(deployment),
    ],
  }),
};

/**
 * Scenarios that are reported but not judged: in `urgent-burst`, demand of one urgent class brings
 * its service to twice the capacity, so half of it misses its target whatever the router does.
 */
export const EXTRA_SCENARIOS = ['urgent-burst'];
