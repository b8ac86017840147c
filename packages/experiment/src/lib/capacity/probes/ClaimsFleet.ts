import { ClaimManager, defaultClaimOptions } from '@apricotrill/claims';
import type { ClaimCounters, ClaimMember, ClaimMessage } from '@apricotrill/claims';
import { MemoryPlatformStore, ObjectStore } from '@apricotrill/store';
import { createRandom, ManualClock } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import { advanceClock } from '../../measure/advanceClock.js';

/** How long the platform's store takes to answer: "milliseconds". */
const STORE_LATENCY: Milliseconds = 5;

/** How long a claimed call runs at its service. */
const RUN_SPAN: Milliseconds = 50;

const STEP: Milliseconds = 50;

/** A takeover that takes longer is not waited for. */
const TAKEOVER_LIMIT: Milliseconds = 120_000;

/** Until every shard has an owner and a witness. */
const START_SPAN: Milliseconds = 15_000;

const MILLISECONDS_PER_SECOND = 1000;

/** Shards of the default layout. */
export const SHARDS = defaultClaimOptions.shards;

const ANSWER = { kind: 'whole' as const, status: 200, headers: {}, body: '{"held":true}' };

/** Creates members of a fleet over a few availability zones. */
export function createMembers(count: number): ClaimMember[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `daemon-${index}`,
    incarnation: 1,
    availabilityZone: `zone-${index % 4}`,
    address: `127.0.0.1:${10_000 + index}`,
  }));
}

/** What the whole fleet did. */
export type FleetCounters = ClaimCounters & { granted: number; refused: number };

/**
 * Daemons that carry claims, on one simulated clock and one store in memory.
 *
 * @internal
 */
export class ClaimsFleet {
  readonly clock = new ManualClock(1_000_000);

  private members: ClaimMember[];

  private readonly managers = new Map<string, ClaimManager>();

  private readonly random: Random = createRandom(1);

  private granted = 0;

  private refused = 0;

  private asked = 0;

  constructor(daemons: number) {
    const { clock } = this;
    const objects = new ObjectStore(clock);
    this.members = createMembers(daemons);
    this.members.forEach((self) => {
      const transport = {
        call: (peer: ClaimMember, message: ClaimMessage) =>
          this.managers.get(peer.id)?.handle(self.id, message) ?? new Promise<never>(() => {}),
      };
      const store = new MemoryPlatformStore({ clock, objects, latency: STORE_LATENCY });
      const getMembers = () => this.members;
      this.managers.set(self.id, new ClaimManager({ self, clock, store, transport, getMembers }));
    });
  }

  start(): Promise<void> {
    return advanceClock(this.clock, START_SPAN);
  }

  /** Claims arrive at random moments at a fixed rate, at random daemons. */
  async run(claimsPerSecond: number, span: Milliseconds): Promise<void> {
    const gap = MILLISECONDS_PER_SECOND / claimsPerSecond;
    const count = Math.round(span / gap);
    for (let index = 0; index < count; index += 1) {
      this.clock.setTimer(this.random.next() * span, () => this.claim());
    }
    await advanceClock(this.clock, span);
  }

  /**
   * Ends a daemon without a word; the others learn of it after a while.
   *
   * @param noticed - how long membership takes to notice
   * @returns how long it took until each shard had an owner that runs
   */
  async crashOwner(noticed: Milliseconds): Promise<Milliseconds> {
    const { clock } = this;
    const start = clock.now();
    const [id, manager] = [...this.managers].find(([, each]) => each.getOwnedShards().length > 0)!;
    this.managers.delete(id);
    manager.dispose();
    await advanceClock(clock, noticed);
    this.members = this.members.filter((member) => member.id !== id);
    this.managers.forEach((other) => other.handleMembersChange());
    const getOwned = () =>
      [...this.managers.values()].reduce((sum, other) => sum + other.getOwnedShards().length, 0);
    while (getOwned() < SHARDS && clock.now() < start + TAKEOVER_LIMIT) {
      // eslint-disable-next-line no-await-in-loop
      await advanceClock(clock, STEP);
    }
    return clock.now() - start;
  }

  getCounters(): FleetCounters {
    const each = [...this.managers.values()].map((manager) => manager.getCounters());
    const names = Object.keys(each[0]!) as (keyof ClaimCounters)[];
    const sums = names.map((name) => [name, each.reduce((sum, one) => sum + one[name], 0)]);
    const { granted, refused } = this;
    return { ...(Object.fromEntries(sums) as ClaimCounters), granted, refused };
  }

  dispose(): void {
    this.managers.forEach((manager) => manager.dispose());
  }

  private async claim(): Promise<void> {
    this.asked += 1;
    const { asked } = this;
    const manager = this.managers.get(`daemon-${this.random.integer(this.managers.size)}`)!;
    const answer = await manager.claim({
      workspace: `workspace-${asked % 100}`,
      key: `key-${asked}`,
      fingerprint: `${asked}`,
      requestId: `request-${asked}`,
    });
    if (answer.kind !== 'granted') {
      this.refused += 1;
      return;
    }
    this.granted += 1;
    this.clock.setTimer(RUN_SPAN, () => {
      manager.recordOutcome(answer.handle, { kind: 'answered', answer: ANSWER });
    });
  }
}
