import { ManualClock } from '@apricotrill/utils';
import { ClaimManager } from '../lib/ClaimManager/ClaimManager.js';
import type { ClaimMember } from '../lib/claimTypes.js';
import type { ClaimOptions } from '../lib/ClaimOptions.js';
import type { ClaimMessage } from '../lib/messages.js';
import { BenchStore } from './BenchStore.js';
import type { StoreCost } from './BenchStore.js';
import { ClaimLoad } from './ClaimLoad.js';
import { createReport } from './CostReport.js';
import type { CostReport, CostSettings } from './CostReport.js';

const ZONES = 4;

/** Time in milliseconds for the shards to find their owners before the load starts. */
const OWNERSHIP_WARM_UP = 6000;

function createMembers(count: number): ClaimMember[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `daemon-${index}`,
    incarnation: 1,
    availabilityZone: `zone-${index % ZONES}`,
    address: `${index}`,
  }));
}

/** The daemons of a run, connected by a network with a fixed latency. */
class BenchFleet {
  readonly store: BenchStore;

  readonly daemons: ClaimManager[];

  constructor(
    readonly clock: ManualClock,
    private readonly settings: CostSettings,
    count: number,
    options: Partial<ClaimOptions>,
  ) {
    this.store = new BenchStore(clock, settings.storeLatency);
    const members = createMembers(count);
    const { store } = this;
    this.daemons = members.map((self) => {
      const call = (peer: ClaimMember, message: ClaimMessage) =>
        this.deliverMessage(self, peer, message);
      const transport = { call };
      const getMembers = () => members;
      return new ClaimManager({ self, clock, options, store, transport, getMembers });
    });
  }

  /** The cost of the store so far, and the commits with the claims that they made durable. */
  count(): { cost: StoreCost; commits: number; claims: number } {
    const counters = this.daemons.map((daemon) => daemon.getCounters());
    const commits = counters.reduce((sum, counter) => sum + counter.commits, 0);
    const claims = counters.reduce((sum, counter) => sum + counter.committedClaims, 0);
    return { cost: { ...this.store.cost }, commits, claims };
  }

  async request(index: number, random: number): Promise<boolean> {
    const daemon = this.daemons[Math.floor(random * this.daemons.length)]!;
    const fingerprint = `fingerprint-${index}`;
    const query = { workspace: 'painotuote', key: `key-${index}`, fingerprint };
    const result = await daemon.claim({ ...query, requestId: `request-${index}` });
    if (result.kind !== 'granted') {
      return false;
    }
    const { body } = this.settings;
    const whole = { kind: 'whole' as const, status: 200, headers: {}, body };
    this.clock.setTimer(this.settings.load.runTime, () => {
      daemon.recordOutcome(result.handle, { kind: 'answered', answer: whole });
    });
    return true;
  }

  private async deliverMessage(from: ClaimMember, peer: ClaimMember, message: ClaimMessage) {
    await this.delayMessage();
    const response = await this.daemons[Number(peer.address)]!.handle(from.id, message);
    await this.delayMessage();
    return response;
  }

  private delayMessage(): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(this.settings.networkLatency, resolve);
    });
  }
}

/** The chosen design: shards whose owners commit claims in groups. */
export async function runOwnedShards(
  settings: CostSettings,
  daemons: number,
  options: Partial<ClaimOptions>,
): Promise<CostReport> {
  const clock = new ManualClock();
  const { retention } = settings;
  const fleet = new BenchFleet(clock, settings, daemons, { ...options, retention });
  const load = new ClaimLoad(clock, settings.load, (index, random) =>
    clock.now() < OWNERSHIP_WARM_UP ? Promise.resolve(false) : fleet.request(index, random),
  );
  let before = fleet.count();
  let after = before;
  const onMeasure = () => {
    fleet.store.isDown = settings.isOutage;
    before = fleet.count();
  };
  await load.run(onMeasure, () => {
    after = fleet.count();
  });
  const witness =
    options.witnessDelay === undefined ? '' : `, witness after ${options.witnessDelay} ms`;
  const design = `${options.shards} shards, one commit per ${options.commitInterval} ms${witness}`;
  const report = createReport(design, settings, load, before.cost, after.cost);
  fleet.daemons.forEach((daemon) => daemon.dispose());
  const claimsPerCommit = (after.claims - before.claims) / (after.commits - before.commits);
  return { ...report, claimsPerCommit };
}
