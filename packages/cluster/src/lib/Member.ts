import type { Milliseconds } from '@apricotrill/utils';

/** The state of a member, as agreed on through gossip. */
export enum MemberState {
  Alive = 'alive',
  /** A peer could not reach it; it has until the suspicion times out to refute. */
  Suspect = 'suspect',
  /** It announced that it is shutting down: it still responds but is given no new duties. */
  Leaving = 'leaving',
  Dead = 'dead',
}

/**
 * The identity of a daemon, and the addresses that it listens on.
 *
 * @public
 */
export interface DaemonIdentity {
  id: string;
  region: string;
  availabilityZone: string;
  /** The IP address that all its ports are bound to. */
  host: string;
  /** The port for requests of callers. */
  port: number;
  meshPort: number;
  adminPort: number;
}

/**
 * What daemons send each other about a member. Of two records of the same daemon, the one with the
 * higher incarnation wins, then the higher refutation, then the later state in the order of
 * {@link MemberState}.
 *
 * @public
 */
export interface MemberRecord extends DaemonIdentity {
  /** Increases with each start of the process. */
  incarnation: number;
  /** Increases each time the process refutes a wrong claim about itself. */
  refutation: number;
  state: MemberState;
}

/**
 * A member as this daemon sees it.
 *
 * @public
 */
export interface Member extends DaemonIdentity {
  /** Increases with each start of the process: older incarnations of the same id have ended. */
  incarnation: number;
  state: MemberState;
  /** Its mesh address, as `host:port`. */
  address: string;
  /**
   * The active configuration generation that it last reported to this daemon; 0 if it never did.
   */
  generation: number;
  /** False while its region cannot be reached from here; its last known state is kept. */
  isReachable: boolean;
  /** True while it is suppressed for flapping: leaving and returning too often. */
  isDamped: boolean;
  /** Whether it may be given duties: it is alive, reachable and not damped. */
  isEligible: boolean;
  /** When it entered its state, by this daemon's clock. */
  stateSince: Milliseconds;
}

const STATE_PRECEDENCE: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

/** The fields that decide which of two records of a daemon wins. */
export type RecordVersion = Pick<MemberRecord, 'incarnation' | 'refutation' | 'state'>;

/** Whether the first record supersedes the second. */
export function isNewerRecord(record: RecordVersion, other: RecordVersion): boolean {
  const difference =
    record.incarnation - other.incarnation ||
    record.refutation - other.refutation ||
    STATE_PRECEDENCE[record.state] - STATE_PRECEDENCE[other.state];
  return difference > 0;
}

/** Whether the process is presumed to be running; false for an unknown member. */
export function isRunning(state: MemberState | undefined): boolean {
  return state !== undefined && state !== MemberState.Dead;
}

/** Formats an IP address and a port as `host:port`. */
export function getAddress(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** The mesh address of a daemon. */
export function getMeshAddress({ host, meshPort }: DaemonIdentity): string {
  return getAddress(host, meshPort);
}
