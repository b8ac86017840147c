import type { Clock, ManualClock, Milliseconds, Timer } from '@apricotrill/utils';
import { ClaimManager } from '../lib/ClaimManager/ClaimManager.js';
import type { ClaimTransport } from '../lib/ClaimManager/ClaimSettings.js';
import type { ClaimEvent } from '../lib/ClaimEvent.js';
import type { ClaimOptions } from '../lib/ClaimOptions.js';
import type { ClaimMember } from '../lib/claimTypes.js';
import type { TestStore } from './TestStore.js';

/** The constructor arguments of a daemon under test. */
export interface TestDaemonSettings {
  member: ClaimMember;
  baseClock: ManualClock;
  options: Partial<ClaimOptions>;
  store: TestStore;
  transport: (daemon: TestDaemon) => ClaimTransport;
  members: readonly ClaimMember[];
}

/** Each process has its own clock, in milliseconds: no code may depend on two of them agreeing. */
const OFFSET_PER_INCARNATION = 1_000_003;

/** One process. It can be paused, which holds back its messages and timers, and it can crash. */
export class TestDaemon implements Clock {
  readonly events: ClaimEvent[] = [];

  readonly claims: ClaimManager;

  /** This daemon's view of the members. */
  members: readonly ClaimMember[];

  isCrashed = false;

  private heldMessages: (() => void)[] = [];

  private heldTimers: (() => void)[] = [];

  private isPaused = false;

  private readonly offset: Milliseconds;

  constructor(readonly settings: TestDaemonSettings) {
    const { member, store, transport, options } = settings;
    this.members = settings.members;
    this.offset = member.incarnation * OFFSET_PER_INCARNATION + member.id.charCodeAt(0);
    this.claims = new ClaimManager({
      self: member,
      clock: this,
      options,
      store: store.connect(member.id, () => this.pass()),
      transport: transport(this),
      getMembers: () => this.members,
      onEvent: (event) => this.events.push(event),
    });
  }

  get member(): ClaimMember {
    return this.settings.member;
  }

  now(): Milliseconds {
    return this.settings.baseClock.now() + this.offset;
  }

  setTimer(delay: Milliseconds, callback: () => void): Timer {
    let isCancelled = false;
    const run = () => {
      if (!isCancelled) {
        callback();
      }
    };
    this.settings.baseClock.setTimer(delay, () => {
      this.hold(this.heldTimers).then(run);
    });
    return {
      cancel: () => {
        isCancelled = true;
      },
    };
  }

  /** Resolves at once, after the pause, or never after a crash. */
  pass(): Promise<void> {
    return this.hold(this.heldMessages);
  }

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    if (this.isCrashed) {
      return;
    }
    this.heldMessages.splice(0).forEach((resolve) => resolve());
    // Messages that arrived during the pause are handled before the timers, which is the harder
    // order of the two.
    const timers = this.heldTimers.splice(0);
    setImmediate(() => timers.forEach((resolve) => resolve()));
  }

  crash(): void {
    this.isCrashed = true;
  }

  setMembers(members: readonly ClaimMember[]): void {
    this.members = members;
    this.claims.handleMembersChange();
  }

  private hold(held: (() => void)[]): Promise<void> {
    return this.isCrashed || this.isPaused
      ? new Promise((resolve) => {
          held.push(resolve);
        })
      : Promise.resolve();
  }
}
