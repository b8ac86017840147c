import { ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimEvent } from '../lib/ClaimEvent.js';
import type { ClaimOptions } from '../lib/ClaimOptions.js';
import type { ClaimResult, ClaimMember } from '../lib/claimTypes.js';
import type { ClaimMessage, ClaimResponse } from '../lib/messages.js';
import { getOwnerOrder } from '../lib/placement.js';
import { TestDaemon } from './TestDaemon.js';
import { TestStore } from './TestStore.js';
import type { Deliver } from './TestStore.js';

const ZONES = ['helsinki-a', 'helsinki-b', 'espoo', 'vantaa'];

/** Times in proportion to the defaults, short enough for tests. */
export const TEST_OPTIONS: Partial<ClaimOptions> = {
  shards: 1,
  retention: 10_000,
  commitInterval: 20,
  settleDelay: 100,
  claimTimeout: 1000,
  callTimeout: 300,
  storeTimeout: 200,
  witnessDelay: 50,
  witnessTrustTimeout: 20_000,
  verifyInterval: 3000,
  rebalanceDelay: 500,
  minTenure: 1000,
  takeoverCooldown: 2500,
  retryDelay: 20,
  maxRetryDelay: 400,
};

function createMember(index: number, incarnation: number): ClaimMember {
  const id = String.fromCharCode('a'.charCodeAt(0) + index);
  const availabilityZone = ZONES[index % ZONES.length]!;
  return { id, incarnation, availabilityZone, address: id };
}

/** Lets all pending callbacks run that wait for no timer. */
export function drain(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Several daemons, a store and a network in one process, on a common clock. */
export class TestCluster {
  readonly clock = new ManualClock(1);

  /** Pairs of ids that cannot reach each other, as `a-b`. */
  readonly brokenLinks = new Set<string>();

  /** Every message that a daemon sent, for late copies. */
  readonly sent: ClaimMessage[] = [];

  /** How many responses (not requests) between daemons to lose. */
  lostResponses = 0;

  readonly daemons: TestDaemon[] = [];

  private requests = 0;

  constructor(
    count: number,
    private readonly options: Partial<ClaimOptions> = TEST_OPTIONS,
    private readonly deliver: Deliver = () => Promise.resolve(),
    readonly store = new TestStore(deliver),
  ) {
    const members = Array.from({ length: count }, (_, index) => createMember(index, 1));
    members.forEach((member) => this.daemons.push(this.start(member, members)));
  }

  /** The daemons in order of preference for owning a shard. */
  getOrder(shard = 0): TestDaemon[] {
    const order = getOwnerOrder(
      shard,
      this.daemons.map(({ member }) => member),
    );
    return order.map((member) => this.daemons.find((daemon) => daemon.member === member)!);
  }

  getLive(): ClaimMember[] {
    return this.daemons.filter(({ isCrashed }) => !isCrashed).map(({ member }) => member);
  }

  /** Gives every running daemon the current list of live members. */
  updateAllMembers(): void {
    const live = this.getLive();
    this.daemons.filter(({ isCrashed }) => !isCrashed).forEach((daemon) => daemon.setMembers(live));
  }

  /**
   * Starts a new process on the same instance. At first only the new process itself knows of it.
   */
  restart(old: TestDaemon): TestDaemon {
    old.crash();
    const index = this.daemons.indexOf(old);
    const member = createMember(index, old.member.incarnation + 1);
    const others = this.getLive().filter(({ id }) => id !== member.id);
    this.daemons[index] = this.start(member, [...others, member]);
    return this.daemons[index];
  }

  claim(daemon: TestDaemon, key: string, fingerprint = 'print'): Promise<ClaimResult> {
    this.requests += 1;
    const requestId = `${daemon.member.id}-r${this.requests}`;
    return daemon.claims.claim({ workspace: 'painotuote', key, fingerprint, requestId });
  }

  /** Claims a key and advances time until the result is there. */
  async ask(daemon: TestDaemon, key: string, fingerprint?: string): Promise<ClaimResult> {
    return this.complete(this.claim(daemon, key, fingerprint));
  }

  /** Advances time until a promise is fulfilled. */
  async complete<Value>(promise: Promise<Value>): Promise<Value> {
    let isDone = false;
    const done = promise.finally(() => {
      isDone = true;
    });
    await drain();
    while (!isDone) {
      this.clock.runNext();
      // One step at a time, until the promise is fulfilled.
      // eslint-disable-next-line no-await-in-loop
      await drain();
    }
    return done;
  }

  async run(span: Milliseconds): Promise<void> {
    const end = this.clock.now() + span;
    await drain();
    while (this.clock.runNext(end)) {
      // One timer at a time, each with everything that follows from it.
      // eslint-disable-next-line no-await-in-loop
      await drain();
    }
    this.clock.advance(end - this.clock.now());
    await drain();
  }

  getEvents<Kind extends ClaimEvent['kind']>(kind: Kind): Extract<ClaimEvent, { kind: Kind }>[] {
    type Wanted = Extract<ClaimEvent, { kind: Kind }>;
    const isWanted = (event: ClaimEvent): event is Wanted => event.kind === kind;
    return this.daemons.flatMap(({ events }) => events.filter(isWanted));
  }

  loseResponse(): void {
    this.lostResponses += 1;
  }

  breakLink(left: TestDaemon, right: TestDaemon): void {
    this.brokenLinks.add(`${left.member.id}-${right.member.id}`);
    this.brokenLinks.add(`${right.member.id}-${left.member.id}`);
  }

  private start(member: ClaimMember, members: readonly ClaimMember[]): TestDaemon {
    const { clock, options, store } = this;
    const transport = (daemon: TestDaemon) => ({
      call: (peer: ClaimMember, message: ClaimMessage) =>
        this.deliverMessage(daemon, peer, message),
    });
    return new TestDaemon({ member, baseClock: clock, options, store, transport, members });
  }

  private async deliverMessage(
    from: TestDaemon,
    peer: ClaimMember,
    message: ClaimMessage,
  ): Promise<ClaimResponse> {
    const { id } = from.member;
    this.sent.push(message);
    await this.deliver(`${id} to ${peer.id}: ${message.kind}`);
    // The process that currently listens at the address, as with a real connection.
    const target = this.daemons.find(({ member }) => member.address === peer.address)!;
    if (this.brokenLinks.has(`${id}-${peer.id}`) || target.isCrashed) {
      await from.pass();
      throw new Error('unreachable');
    }
    await target.pass();
    const response = await target.claims.handle(id, message);
    await target.pass();
    await this.deliver(`${peer.id} to ${id}: ${response.kind}`);
    await from.pass();
    if (this.brokenLinks.has(`${id}-${peer.id}`) || this.lostResponses > 0) {
      this.lostResponses = Math.max(0, this.lostResponses - 1);
      throw new Error('response lost');
    }
    return response;
  }
}
