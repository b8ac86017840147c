import { createRandom } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import type { RelayReplica } from '../lib/config/RelayConfiguration.js';
import { AttemptEnd, GiveUpReason, ProbeResult } from '../lib/decide/messages.js';
import type {
  PlacementEffect,
  QuarantinedContent,
  SharedAttempt,
  PlacementUpdate,
} from '../lib/decide/messages.js';
import { Rotation } from '../lib/peers/Rotation/Rotation.js';
import { CoreHarness } from './CoreHarness.js';
import { createEngineService, createPrompt, createReplica, createRequest } from './fixtures.js';

/** Parameters of a simulated fleet. */
export interface CrashFleetOptions {
  seed: number;
  daemons: number;
  replicas: number;
  /** Fraction of datagrams between daemons that are lost. */
  loss: number;
}

interface RunningAttempt {
  daemon: number;
  restarts: number;
  id: string;
  attempt: number;
  fingerprint: string;
}

interface Member {
  harness: CoreHarness;
  /** Number of restarts of the daemon. */
  restarts: number;
  /** Effects that have not been performed yet. */
  pending: PlacementEffect[];
  rotation: Rotation;
  startedAt: Milliseconds;
}

/** An attempt that a daemon sent to a replica. */
export interface SentAttempt {
  at: Milliseconds;
  daemon: number;
  /** Whether the daemon had run long enough to know the quarantined requests. */
  isInformed: boolean;
}

const STEP_TIME: Milliseconds = 10;

const REFRESH_INTERVAL: Milliseconds = 1_000;

/** Daemons that a refresh is sent to. */
const MAX_RECIPIENTS = 20;

const INFORMED_AFTER: Milliseconds = 3_000;

/** Time from a crash to the removal from the list, and to the start of the next replica. */
const DELISTING_DELAY: Milliseconds = 3_600;
const RESTART_DELAY: Milliseconds = 2_500;

/** A request received by a replica. */
export interface Arrival {
  at: Milliseconds;
  /** Whether its daemon received a response with the replica's limit at least 500 ms before. */
  isInformed: boolean;
}

/** Time after which a daemon that received a response with a limit must respect it. */
const LIMIT_INFORMED_AFTER: Milliseconds = 500;

/**
 * Simulates daemons and replicas on a virtual clock, with requests that crash replicas and replicas
 * that state rate limits.
 */
export class CrashFleet {
  /** Attempts of each request, by fingerprint or the part that crashes replicas. */
  readonly sends = new Map<string, SentAttempt[]>();

  /** Times of crashes caused by each request, by the same. */
  readonly crashes = new Map<string, Milliseconds[]>();

  /** Fingerprints of requests that were rejected as quarantined. */
  readonly rejected = new Set<string>();

  /** Fingerprints of requests that were completed by a replica. */
  readonly served = new Set<string>();

  /** Requests received by each replica. */
  readonly arrivals = new Map<string, Arrival[]>();

  /** When each limited replica began to state its limit. */
  readonly limitedSince = new Map<string, Milliseconds>();

  private readonly limits = new Map<string, number>();

  /** When each daemon process first received a response with a replica's limit. */
  private readonly informedAt = new Map<string, Milliseconds>();

  private now: Milliseconds = 0;

  private readonly random: Random;

  private readonly members: Member[] = [];

  private readonly runningReplicas = new Map<string, RelayReplica>();

  private listed: RelayReplica[] = [];

  private readonly running = new Map<string, RunningAttempt[]>();

  private readonly scheduled: { at: Milliseconds; act: () => void }[] = [];

  private readonly stored = new Map<string, QuarantinedContent>();

  private readonly fingerprints = new Map<string, string>();

  /** What each request is counted under: the part that crashes replicas, or its fingerprint. */
  private readonly subjects = new Map<string, string>();

  private readonly crashing = new Set<string>();

  private replicaCount = 0;

  constructor(private readonly options: CrashFleetOptions) {
    this.random = createRandom(options.seed);
    for (let index = 0; index < options.replicas; index += 1) {
      this.startReplica();
    }
    for (let index = 0; index < options.daemons; index += 1) {
      this.members.push(this.createMember(index, 0));
    }
  }

  get time(): Milliseconds {
    return this.now;
  }

  /** Marks a request, or a part of prompts, that crashes each replica that runs it. */
  setCrashing(name: string): void {
    this.crashing.add(name);
  }

  /** Ends the fault of a request or a part: replicas can run it from now on. */
  mend(name: string): void {
    this.crashing.delete(name);
  }

  /** Sets the limit that a replica states in its responses; undefined for none. */
  setLimit(index: number, perSecond: number | undefined): void {
    const id = `e-${index + 1}`;
    if (perSecond === undefined) {
      this.limits.delete(id);
      this.limitedSince.delete(id);
    } else {
      this.limits.set(id, perSecond);
      this.limitedSince.set(id, this.now);
    }
  }

  /** @param parts - IDs of the parts of its prompt; absent if it has no prompt */
  submit(daemon: number, id: string, fingerprint: string, parts?: readonly string[]): void {
    this.fingerprints.set(id, fingerprint);
    const guilty = parts?.slice(0, -1).find((part) => this.crashing.has(part));
    this.subjects.set(id, guilty ?? fingerprint);
    const request = createRequest(id, {
      fingerprint,
      service: 'llm',
      maxAttempts: 2,
      deadline: 6_000,
      prompt: parts === undefined ? undefined : createPrompt(parts.map((part) => [part, 50])),
    });
    this.members[daemon % this.members.length]!.harness.submit(request);
    this.performPendingEffects();
  }

  /** Returns the number of unfinished requests of all daemons. */
  getOpenRequests(): number {
    return this.members.reduce((sum, { harness }) => sum + harness.core.openRequests, 0);
  }

  /** Crashes a fraction of the replicas, independent of any request. */
  crashReplicas(fraction: number): void {
    const ids = [...this.runningReplicas.keys()];
    const count = Math.floor(ids.length * fraction);
    for (let index = 0; index < count; index += 1) {
      this.crash(ids.splice(this.random.integer(ids.length), 1)[0]!);
    }
  }

  restartDaemon(daemon: number): void {
    const index = daemon % this.members.length;
    const before = this.members[index]!;
    this.running.forEach((running, replica) => {
      this.running.set(
        replica,
        running.filter((run) => run.daemon !== index),
      );
    });
    this.members[index] = this.createMember(index, before.restarts + 1);
    const contents = [...this.stored.values()];
    this.members[index].harness.core.handle({ kind: 'quarantine', contents });
  }

  advance(span: Milliseconds): void {
    for (let passed = 0; passed < span; passed += STEP_TIME) {
      this.now += STEP_TIME;
      this.members.forEach(({ harness }) => harness.clock.advance(STEP_TIME));
      this.runScheduled();
      this.performPendingEffects();
      if (this.now % REFRESH_INTERVAL === 0) {
        this.members.forEach((member, index) => this.refresh(member, index));
      }
    }
  }

  private createMember(index: number, restarts: number): Member {
    const harness = new CoreHarness([createEngineService('llm')], this.listed, {
      retrySlack: 1_000,
    });
    harness.clock.advance(this.now);
    const daemons = Array.from({ length: this.options.daemons }, (_item, peer) => `d-${peer}`);
    harness.core.handle({ kind: 'daemons', count: daemons.length });
    harness.core.handle({ kind: 'fleet', self: `d-${index}`, daemons });
    return {
      harness,
      restarts,
      pending: harness.effects,
      rotation: new Rotation(index * 7),
      startedAt: this.now,
    };
  }

  private startReplica(): void {
    this.replicaCount += 1;
    const replica = createReplica(`e-${this.replicaCount}`, { service: 'llm', slots: 96 });
    this.runningReplicas.set(replica.id, replica);
    this.running.set(replica.id, []);
    this.setListed([...this.listed, replica]);
  }

  private setListed(replicas: RelayReplica[]): void {
    this.listed = replicas;
    this.members.forEach(({ harness }) => harness.core.handle({ kind: 'replicas', replicas }));
  }

  private crash(id: string): void {
    if (!this.runningReplicas.delete(id)) {
      return;
    }
    const running = this.running.get(id) ?? [];
    this.running.delete(id);
    running.forEach((run) => this.end(run, AttemptEnd.Broken));
    this.schedule(RESTART_DELAY, () => this.startReplica());
    this.schedule(DELISTING_DELAY, () =>
      this.setListed(this.listed.filter((replica) => replica.id !== id)),
    );
  }

  private end({ daemon, restarts, id, attempt }: RunningAttempt, end: AttemptEnd): void {
    this.schedule(STEP_TIME, () => {
      const member = this.members[daemon]!;
      if (member.restarts === restarts) {
        member.harness.end(id, attempt, end);
      }
    });
  }

  private schedule(delay: Milliseconds, act: () => void): void {
    this.scheduled.push({ at: this.now + delay, act });
  }

  private runScheduled(): void {
    const scheduled = this.scheduled.filter(({ at }) => at <= this.now);
    const left = this.scheduled.filter(({ at }) => at > this.now);
    this.scheduled.splice(0, this.scheduled.length, ...left);
    scheduled.forEach(({ act }) => act());
  }

  private performPendingEffects(): void {
    this.members.forEach((member, index) => {
      member.pending.splice(0).forEach((effect) => this.perform(effect, member, index));
    });
  }

  private perform(effect: PlacementEffect, member: Member, daemon: number): void {
    switch (effect.kind) {
      case 'send':
        this.run(effect, member, daemon);
        break;
      case 'cancel':
        this.running.forEach((running, replica) => {
          const left = running.filter((run) => run.daemon !== daemon || run.id !== effect.id);
          this.running.set(replica, left);
        });
        break;
      case 'settle':
        this.served.add(this.fingerprints.get(effect.id)!);
        break;
      case 'give-up':
        if (effect.reason === GiveUpReason.Quarantined) {
          this.rejected.add(this.fingerprints.get(effect.id)!);
        }
        break;
      case 'share':
        this.deliver(daemon, effect.to, effect.update);
        break;
      case 'probe': {
        const { id } = effect.replica;
        this.schedule(STEP_TIME, () =>
          member.harness.core.handle({
            kind: 'probed',
            replica: id,
            result: this.runningReplicas.has(id) ? ProbeResult.Up : ProbeResult.Down,
          }),
        );
        break;
      }
      case 'quarantined':
        if (effect.isOwn) {
          this.stored.set(effect.content.fingerprint, effect.content);
        }
        break;
      case 'released':
        if (effect.isOwn) {
          this.stored.delete(effect.fingerprint);
        }
        break;
      default:
        break;
    }
  }

  private run(
    { id, attempt, replica }: Extract<PlacementEffect, { kind: 'send' }>,
    { restarts, startedAt }: Member,
    daemon: number,
  ): void {
    const fingerprint = this.subjects.get(id)!;
    const run = { daemon, restarts, id, attempt, fingerprint };
    if (!this.runningReplicas.has(replica.id)) {
      this.end(run, AttemptEnd.NotSent);
      return;
    }
    const sends = this.sends.get(fingerprint) ?? [];
    sends.push({ at: this.now, daemon, isInformed: this.now - startedAt >= INFORMED_AFTER });
    this.sends.set(fingerprint, sends);
    this.running.get(replica.id)!.push(run);
    const informedAt = this.informedAt.get(`${replica.id} ${daemon} ${restarts}`);
    const arrivals = this.arrivals.get(replica.id) ?? [];
    const isInformed = informedAt !== undefined && this.now - informedAt >= LIMIT_INFORMED_AFTER;
    arrivals.push({ at: this.now, isInformed });
    this.arrivals.set(replica.id, arrivals);
    const sentAt = this.now;
    const isCrashing = this.crashing.has(fingerprint);
    const span = isCrashing ? 20 + this.random.integer(180) : 50 + this.random.integer(1_500);
    this.schedule(span, () => {
      const running = this.running.get(replica.id);
      if (running?.includes(run) !== true) {
        return;
      }
      if (isCrashing) {
        this.crashes.set(fingerprint, [...(this.crashes.get(fingerprint) ?? []), this.now]);
        this.crash(replica.id);
      } else {
        running.splice(running.indexOf(run), 1);
        this.deliverResponse(run, replica.id, sentAt);
        this.end(run, AttemptEnd.Completed);
      }
    });
  }

  /** Delivers the limit in the head of a response to the daemon that sent the request. */
  private deliverResponse(
    { daemon, restarts }: RunningAttempt,
    replica: string,
    sentAt: Milliseconds,
  ): void {
    const perSecond = this.limits.get(replica);
    this.schedule(STEP_TIME, () => {
      const member = this.members[daemon]!;
      if (member.restarts !== restarts) {
        return;
      }
      const limit = perSecond === undefined ? undefined : { kind: 'rate' as const, perSecond };
      const key = `${replica} ${daemon} ${restarts}`;
      if (limit !== undefined && !this.informedAt.has(key)) {
        this.informedAt.set(key, this.now);
      }
      member.harness.core.handle({ kind: 'limit', replica, sentAt, limit });
    });
  }

  private refresh({ harness, rotation }: Member, index: number): void {
    const shared = harness.core.getSharedAttempts();
    const repeated = harness.core.getPeriodicUpdates();
    const peers = this.members.map((_member, peer) => peer).filter((peer) => peer !== index);
    rotation.take(peers, MAX_RECIPIENTS).forEach((peer) => {
      const attempts: SharedAttempt[] = shared.get(`d-${peer}`) ?? shared.get(undefined) ?? [];
      const isLost = this.random.next() < this.options.loss;
      [{ kind: 'attempt-list' as const, attempts }, ...repeated].forEach((update) => {
        if (!isLost) {
          this.members[peer]!.harness.core.handle({
            kind: 'peer-update',
            peer: `d-${index}`,
            update,
          });
        }
      });
    });
  }

  private deliver(from: number, to: string | undefined, update: PlacementUpdate): void {
    this.members.forEach((_member, index) => {
      const isFor = to === undefined || to === `d-${index}`;
      if (index === from || !isFor || this.random.next() < this.options.loss) {
        return;
      }
      // Some datagrams are delivered twice.
      const times = this.random.next() < 0.02 ? 2 : 1;
      for (let time = 0; time < times; time += 1) {
        this.schedule(STEP_TIME * (1 + this.random.integer(2)), () => {
          const { core } = this.members[index]!.harness;
          core.handle({ kind: 'peer-update', peer: `d-${from}`, update });
        });
      }
    });
  }
}
