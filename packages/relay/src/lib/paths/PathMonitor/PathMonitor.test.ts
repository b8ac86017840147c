import { ManualClock } from '@apricotrill/utils';
import { setImmediate as settle } from 'node:timers/promises';
import { createReplica } from '../../../test/fixtures.js';
import { ProbeResult } from '../../decide/messages.js';
import { RelayMetrics } from '../../observe/RelayMetrics.js';
import { pathOptions } from '../pathOptions.js';
import { CheckResult } from '../ReplicaCheck/ReplicaCheck.js';
import { PathMonitor } from './PathMonitor.js';

const REPLICAS = ['i-0', 'i-1', 'i-2'].map((id) => createReplica(id));

describe('PathMonitor', () => {
  let clock: ManualClock;
  let monitor: PathMonitor;
  let results: ProbeResult[];
  let silent: string[][];

  /** Creates a monitor whose own checks get no response. */
  beforeEach(() => {
    clock = new ManualClock(0);
    silent = [];
    monitor = new PathMonitor({
      clock,
      log: () => undefined,
      metrics: new RelayMetrics(),
      onContact: () => undefined,
      check: () => Promise.resolve(CheckResult.Silent),
      checkAnew: () => Promise.resolve(CheckResult.Silent),
      probe: ({ id }) =>
        Promise.resolve({ result: results[Number(id.slice(-1))]!, own: undefined }),
      onSilent: (replicas) => silent.push([...replicas]),
      onIsolationChanged: () => undefined,
    });
    monitor.setReplicas(REPLICAS);
  });

  afterEach(() => monitor.dispose());

  async function loseTwoPaths(): Promise<void> {
    await monitor.probe(REPLICAS[0]!);
    await monitor.probe(REPLICAS[1]!);
    await settle();
  }

  it('counts the daemon as isolated if only others reach the remaining replicas', async () => {
    results = [ProbeResult.PathLost, ProbeResult.PathLost, ProbeResult.PathLost];
    await loseTwoPaths();
    expect(monitor.isIsolated).toBe(true);
    expect(silent.at(-1)).toEqual(['i-0', 'i-1', 'i-2']);
  });

  // Guards against requests at sound replicas that are ended since two other paths are lost.
  it('does not count the daemon as isolated if nobody reaches the remaining replicas', async () => {
    results = [ProbeResult.PathLost, ProbeResult.PathLost, ProbeResult.Unknown];
    await loseTwoPaths();
    expect(monitor.isIsolated).toBe(false);
    expect(silent).toEqual([['i-0'], ['i-1']]);
  });

  // Guards against requests that wait for their deadline since none could be replaced at first.
  it('reports the replicas behind lost paths again while the paths stay lost', async () => {
    results = [ProbeResult.PathLost, ProbeResult.Up, ProbeResult.Up];
    await monitor.probe(REPLICAS[0]!);
    clock.advance(pathOptions.recoveryInterval);
    await settle();
    expect(silent).toEqual([['i-0'], ['i-0']]);
  });
});
