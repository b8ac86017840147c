import type { Milliseconds } from '@apricotrill/utils';

/** What the daemons agree on about one of them. */
export enum MemberState {
  Alive = 'alive',
  /** Somebody could not reach it; it has time to refute. */
  Suspect = 'suspect',
  /** It announced that it is shutting down: it still answers and gets no new duties. */
  Leaving = 'leaving',
  Dead = 'dead',
}

/**
 * Who and where a daemon is.
 *
 * @public
 */
export interface DaemonIdentity {
  id: string;
  region: string;
  availabilityZone: string;
  /** The IP number of all its ports. */
  host: string;
  /** For callers. */
  port: number;
  meshPort: number;
  adminPort: number;
}

/**
 * What travels about a daemon. Of two records of the same daemon the one with the higher
 * incarnation, then refutation, then state (in the order of {@link MemberState}) holds.
 *
 * @public
 */
export interface MemberRecord extends DaemonIdentity {
  /** Grows with each start of the process. */
  incarnation: number;
  /** Grows each time the process contradicts a wrong word about itself. */
  refutation: number;
  state: MemberState;
}

/**
 * A daemon as this one sees it.
 *
 * @public
 */
export interface Member extends DaemonIdentity {
  /** Grows with each start of the process: an older incarnation of the same id has ended. */
  incarnation: number;
  state: MemberState;
  /** Where the mesh reaches it, as `host:port`. */
  address: string;
  /** The configuration generation it last told this daemon; 0 when it never told. */
  generation: number;
  /** False while the member's region cannot be reached from here; its last known state is kept. */
  isReachable: boolean;
  /** True while it goes and comes back too often. */
  isDamped: boolean;
  /** Whether duties may be given to it: alive, reachable and not damped. */
  isEligible: boolean;
  /** By this daemon's clock. */
  stateSince: Milliseconds;
}

const STATE_RANKS: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

/** What decides between two records of a daemon. */
export type RecordVersion = Pick<MemberRecord, 'incarnation' | 'refutation' | 'state'>;

/** Whether the first record holds against the second. */
export function isNewerRecord(record: RecordVersion, other: RecordVersion): boolean {
  const difference =
    record.incarnation - other.incarnation ||
    record.refutation - other.refutation ||
    STATE_RANKS[record.state] - STATE_RANKS[other.state];
  return difference > 0;
}

/** Whether the process is there, as far as is known; not for an unknown member. */
export function isRunning(state: MemberState | undefined): boolean {
  return state !== undefined && state !== MemberState.Dead;
}

/** An IP number and a port as one text. */
export function getAddress(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Where the mesh reaches a daemon. */
export function getMeshAddress({ host, meshPort }: DaemonIdentity): string {
  return getAddress(host, meshPort);
}
