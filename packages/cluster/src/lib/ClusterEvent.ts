import type { Milliseconds } from '@apricotrill/utils';

/** Where a configuration generation came from. */
export enum ConfigurationSource {
  Store = 'store',
  Peer = 'peer',
}

/** Why a member was declared dead. */
export enum DeathCause {
  /** It did not refute a suspicion in time. */
  SuspicionTimeout = 'unrefuted',
  /** It was leaving and no longer responds. */
  Left = 'left',
  /** It does not respond and is no longer on the platform's instance list. */
  Unlisted = 'unlisted',
  /** A peer reported it dead. */
  ReportedByPeer = 'word',
}

/**
 * An event of cluster membership or configuration distribution; each becomes one log line.
 *
 * @public
 */
export type ClusterEvent =
  | { kind: 'member-joined'; member: string; incarnation: number }
  /** Neither a direct probe nor the indirect ones through peers reached it. */
  | { kind: 'member-suspected'; member: string; incarnation: number }
  | { kind: 'member-refuted'; member: string; incarnation: number }
  | { kind: 'member-leaving'; member: string }
  | { kind: 'member-dead'; member: string; incarnation: number; cause: DeathCause }
  | { kind: 'member-damped'; member: string; penalty: number }
  | { kind: 'member-undamped'; member: string }
  /** Most peers tried did not respond: this daemon's own network is at fault, its view is kept. */
  | { kind: 'cut-off'; tried: number; failed: number }
  | { kind: 'reconnected'; tried: number; failed: number }
  | { kind: 'region-unreachable'; region: string }
  | { kind: 'region-reachable'; region: string }
  /** This daemon refuted a wrong claim of peers about it. */
  | { kind: 'self-refuted'; refutation: number }
  /** Another process with this daemon's id was started later, or its clock is ahead. */
  | { kind: 'incarnation-raised'; from: number; to: number }
  /**
   * This process did not run for this long; timeouts that elapsed meanwhile are not held against
   * peers.
   */
  | { kind: 'pause-noticed'; span: Milliseconds }
  /** The platform's instance list lacks this daemon, so it is not trusted on who is gone. */
  | { kind: 'list-distrusted'; instances: number }
  | { kind: 'watch-started'; rank: number }
  | { kind: 'watch-ended' }
  | {
      kind: 'configuration-in-force';
      generation: number;
      source: ConfigurationSource;
      peer: string;
    }
  | { kind: 'configuration-refused'; generation: number; reason: string; peer: string }
  | { kind: 'replica-leaving'; replica: string; isOwnWord: boolean };
