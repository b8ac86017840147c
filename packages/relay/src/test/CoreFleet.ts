import { ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../lib/config/RelayConfiguration.js';
import type {
  Outcome,
  PlacementEffect,
  PlacementRequest,
  PlacementUpdate,
} from '../lib/decide/messages.js';
import type { PlacementOptions } from '../lib/decide/placementOptions.js';
import { CoreHarness } from './CoreHarness.js';
import { ModelEngine } from './ModelEngine.js';
import type { ModelEngineSettings } from './ModelEngine.js';

/** How often daemons repeat their attempts in flight and what may have been lost. */
const REFRESH_PERIOD: Milliseconds = 1_000;

/** Delay of a datagram unless a test states another. */
export const DATAGRAM_DELAY: Milliseconds = 2;

/** Delays of the copies of a datagram that arrive; empty if it is lost. */
export type DatagramFate = (from: string, to: string, update: PlacementUpdate) => Milliseconds[];

/** Constructor arguments of {@link CoreFleet}. */
export interface CoreFleetSettings {
  daemons: readonly string[];
  services: readonly RelayService[];
  replicas: readonly RelayReplica[];
  engine: Omit<ModelEngineSettings, 'clock'>;
  getFate?: DatagramFate;
  /** Options of the placement cores that differ from the default. */
  options?: Partial<PlacementOptions>;
  /** Time that the clock of a daemon shows at the start. */
  getStart?: (daemon: string) => Milliseconds;
}

/** How a request ended for its caller. */
export interface RequestResult {
  id: string;
  daemon: string;
  at: Milliseconds;
  kind: 'settle' | 'give-up';
  outcome?: Outcome;
  retryAfter?: Milliseconds;
}

interface Member {
  name: string;
  harness: CoreHarness;
  /** Time that has passed while it was frozen. */
  missed: Milliseconds;
  isFrozen: boolean;
  performed: number;
  inbox: (() => void)[];
}

/** Placement cores of several daemons, joined by a network, in front of engines. */
export class CoreFleet {
  readonly clock = new ManualClock();

  readonly members = new Map<string, Member>();

  readonly engines = new Map<string, ModelEngine>();

  readonly results: RequestResult[] = [];

  /** IDs of the requests of which an attempt was sent to an engine. */
  readonly sent = new Set<string>();

  /** When the first byte of each response arrived. */
  readonly firstBytes = new Map<string, Milliseconds>();

  /** All effects, with the daemon that emitted them. */
  readonly effects: { daemon: string; effect: PlacementEffect }[] = [];

  private replicas: readonly RelayReplica[];

  private getFate: DatagramFate;

  constructor(readonly settings: CoreFleetSettings) {
    this.replicas = settings.replicas;
    this.getFate = settings.getFate ?? (() => [DATAGRAM_DELAY]);
    this.replicas.forEach(({ id }) => {
      this.engines.set(id, new ModelEngine({ ...settings.engine, clock: this.clock }));
    });
    settings.daemons.forEach((name) => this.start(name));
    settings.daemons.forEach((name) => this.setView(name, settings.daemons));
  }

  /** Starts a daemon, which knows nothing of what happened before. */
  start(name: string): void {
    const { services, getStart, options } = this.settings;
    const start = getStart?.(name) ?? 0;
    const harness = new CoreHarness(services, this.replicas, { ...options }, start);
    harness.clock.advance(this.clock.now());
    const member = { name, harness, missed: 0, isFrozen: false, performed: 0, inbox: [] };
    this.members.set(name, member);
  }

  /** Replaces what happens to datagrams that are sent from now on. */
  setFate(getFate: DatagramFate): void {
    this.getFate = getFate;
  }

  /** Sets the daemons that a daemon considers reachable. */
  setView(name: string, daemons: readonly string[]): void {
    this.get(name).harness.core.handle({ kind: 'fleet', self: name, daemons });
  }

  /** Ends a daemon. Its connections to engines are closed. */
  kill(name: string): void {
    this.members.delete(name);
    this.engines.forEach((engine) => engine.cancelAll(name));
  }

  freeze(name: string): void {
    this.get(name).isFrozen = true;
  }

  thaw(name: string): void {
    const member = this.get(name);
    member.isFrozen = false;
    member.harness.clock.advance(member.missed);
    member.missed = 0;
    member.inbox.splice(0).forEach((deliver) => deliver());
  }

  /** Replaces the replicas that the daemons know. */
  setReplicas(replicas: readonly RelayReplica[]): void {
    this.replicas = replicas;
    this.members.forEach(({ harness }) => harness.core.handle({ kind: 'replicas', replicas }));
  }

  submit(daemon: string, request: PlacementRequest): void {
    this.get(daemon).harness.submit(request);
    this.perform();
  }

  get(name: string): Member {
    const member = this.members.get(name);
    if (member === undefined) {
      throw new Error(`no daemon ${name}`);
    }
    return member;
  }

  /** Lets time pass at all daemons and engines. */
  advance(duration: Milliseconds): void {
    for (let passed = 0; passed < duration; passed += 1) {
      this.clock.advance(1);
      this.members.forEach((member) => {
        if (member.isFrozen) {
          Object.assign(member, { missed: member.missed + 1 });
        } else {
          member.harness.clock.advance(1);
        }
      });
      if (this.clock.now() % REFRESH_PERIOD === 0) {
        this.members.forEach((member) => this.refresh(member));
      }
      this.perform();
    }
  }

  /** Attempts that any daemon counts as in flight, and requests that have not ended. */
  get counted(): number {
    return [...this.members.values()].reduce((sum, { harness: { core } }) => {
      const states = core.registry.allServices.flatMap(({ replicas }) => [...replicas.values()]);
      return states.reduce((all, { running }) => all + running.size, sum + core.openRequests);
    }, 0);
  }

  getResults(id: string): RequestResult[] {
    return this.results.filter((result) => result.id === id);
  }

  private refresh({ name, harness, isFrozen }: Member): void {
    if (isFrozen) {
      return;
    }
    const shared = harness.core.getSharedAttempts();
    const periodic = harness.core.getPeriodicUpdates();
    this.members.forEach((other) => {
      if (other.name !== name) {
        const attempts = shared.get(other.name) ?? shared.get(undefined) ?? [];
        this.transmit(name, other.name, { kind: 'attempt-list', attempts });
        periodic.forEach((update) => this.transmit(name, other.name, update));
      }
    });
  }

  /** Carries out the effects that daemons have emitted since the last call. */
  private perform(): void {
    for (;;) {
      const before = this.effects.length;
      this.members.forEach((member) => {
        while (member.performed < member.harness.effects.length) {
          const effect = member.harness.effects[member.performed]!;
          Object.assign(member, { performed: member.performed + 1 });
          this.effects.push({ daemon: member.name, effect });
          this.performEffect(member, effect);
        }
      });
      if (this.effects.length === before) {
        return;
      }
    }
  }

  private performEffect(member: Member, effect: PlacementEffect): void {
    const { name } = member;
    switch (effect.kind) {
      case 'send':
        this.send(member, effect);
        break;
      case 'cancel':
        this.engines.forEach((engine) => engine.cancel(`${name} ${effect.id} ${effect.attempt}`));
        break;
      case 'settle':
        this.results.push({ id: effect.id, daemon: name, at: this.clock.now(), kind: 'settle' });
        break;
      case 'give-up': {
        const { id, outcome, retryAfter, kind } = effect;
        this.results.push({ id, daemon: name, at: this.clock.now(), kind, outcome, retryAfter });
        break;
      }
      case 'share':
        [...this.members.keys()]
          .filter((other) => other !== name && (effect.to ?? other) === other)
          .forEach((other) => this.transmit(name, other, effect.update));
        break;
      default:
        break;
    }
  }

  private send(member: Member, effect: Extract<PlacementEffect, { kind: 'send' }>): void {
    const { id, attempt, replica } = effect;
    const engine = this.engines.get(replica.id)!;
    if (engine.isUp) {
      this.sent.add(id);
    }
    const { core } = member.harness;
    const notify = (action: () => void) => this.deliver(member, action);
    engine.add(`${member.name} ${id} ${attempt}`, {
      onFirstByte: (report) =>
        notify(() => {
          this.firstBytes.set(id, this.clock.now());
          core.handle({ kind: 'load', replica: replica.id, report });
          core.handle({ kind: 'first-byte-received', id, attempt });
        }),
      onEnd: (end) => notify(() => core.handle({ kind: 'attempt-ended', id, attempt, end })),
    });
  }

  private transmit(from: string, to: string, update: PlacementUpdate): void {
    this.getFate(from, to, update).forEach((delay) =>
      this.clock.setTimer(delay, () => {
        const member = this.members.get(to);
        if (member !== undefined) {
          this.deliver(member, () =>
            member.harness.core.handle({ kind: 'peer-update', peer: from, update }),
          );
        }
      }),
    );
  }

  /** Hands a daemon something from its sockets, unless it was killed; later if it is frozen. */
  private deliver(member: Member, action: () => void): void {
    if (this.members.get(member.name) !== member) {
      return;
    }
    if (member.isFrozen) {
      member.inbox.push(action);
    } else {
      action();
    }
  }
}
