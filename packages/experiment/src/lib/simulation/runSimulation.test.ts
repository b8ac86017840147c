import { ServiceKind } from '@apricotrill/model';
import { createDeployments } from '../deployments/deployments.js';
import { aggregate } from '../report/aggregate.js';
import { summariseRun } from '../report/summariseRun.js';
import type { PolicyFactory } from '../policies/Policy.js';
import type { Scenario, TimedFault } from '../scenarios/Scenario.js';
import type { LoadCurve } from '../workload/createCalls.js';
import { RoundRobinDouble } from '../../test/RoundRobinDouble.js';
import { CallEnd } from './CallRecord.js';
import { runSimulation } from './runSimulation.js';

const SPAN = 8_000;

const PLAIN_LOAD = 0.05;

const deployment = createDeployments()['nube-tica']!;

const { services, replicas } = deployment.configuration.register;

function getFirstReplica(kind: ServiceKind): string {
  const { name } = services.find((service) => service.kind === kind)!;
  return replicas.find(({ service }) => service === name)!.id;
}

/** Longer than any caller waits, so that no silent connection times out. */
const NO_SILENCE_TIMEOUT = 300_000;

function runRoundRobin(
  load: number,
  faults: TimedFault[],
  {
    seed = 1,
    silenceTimeout = NO_SILENCE_TIMEOUT,
  }: { seed?: number; silenceTimeout?: number } = {},
) {
  const curve: LoadCurve = ({ shape }) => (shape.kind === 'chat' ? load : PLAIN_LOAD);
  const scenario: Scenario = { name: 'test', span: SPAN, curve, faults };
  const factory: PolicyFactory = (context) => new RoundRobinDouble(context, silenceTimeout);
  return runSimulation({ deployment, scenario, factory, seed });
}

const silence: TimedFault = {
  at: 0,
  fault: { kind: 'silence', daemon: 0, replica: getFirstReplica(ServiceKind.Plain) },
};

describe('runSimulation', () => {
  it('gives identical results for the same seed', async () => {
    const [first, second] = [await runRoundRobin(0.5, []), await runRoundRobin(0.5, [])];
    expect(second).toEqual(first);
    expect(first.violations).toEqual({
      wrongResume: 0,
      cutAnswers: 0,
      doubledRuns: 0,
      falseNotRun: 0,
    });
  });

  it('aborts running answers when an engine crashes and counts the work as wasted', async () => {
    const crash: TimedFault = {
      at: 6_000,
      fault: { kind: 'crash', replica: getFirstReplica(ServiceKind.Model) },
    };
    const { chat, classes } = summariseRun(await runRoundRobin(0.9, [crash]));
    expect(chat.wasted).toBeGreaterThan(0.02);
    expect(classes.some(({ refusals }) => refusals > 0)).toBe(true);
  });

  it('delivers nothing on silent connections until the caller hangs up', async () => {
    const { records } = await runRoundRobin(0.9, [silence]);
    const timedOut = records.filter(({ end }) => end === CallEnd.TimedOut);
    expect(timedOut.length).toBeGreaterThan(0);
    expect(timedOut.every(({ delivered }) => delivered === 0)).toBe(true);
  });

  it('replaces a silent connection by a new one after the silence timeout', async () => {
    const { records } = await runRoundRobin(0.3, [silence], { silenceTimeout: 500 });
    const refused = records.filter(
      ({ call, refusals }) => call.work.kind === 'plain' && refusals > 0,
    );
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.every(({ end }) => end === CallEnd.Completed)).toBe(true);
    expect(refused.every(({ call }) => call.arrived < SPAN / 2)).toBe(true);
  });

  it('aggregates the runs of several seeds into median and range', async () => {
    const key = { deployment: 'nube-tica', scenario: 'test', policy: 'double' };
    const results = await Promise.all(
      [1, 2, 3].map(async (seed) => ({
        key: { ...key, seed },
        summary: summariseRun(await runRoundRobin(0.3, [], { seed })),
      })),
    );
    const [cell] = aggregate(results);
    const values = results.map(({ summary }) => summary.chat.goodput);
    const [min, median, max] = [...values].sort((left, right) => left - right);
    expect(cell!.chat.goodput).toEqual({ min, median, max, values });
  });
});
