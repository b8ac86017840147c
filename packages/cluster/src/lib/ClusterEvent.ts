import type { Milliseconds } from '@apricotrill/utils';

/** Who brought a generation of the configuration. */
export enum ConfigurationSource {
  Store = 'store',
  Peer = 'peer',
}

/** What led to a daemon's death notice. */
export enum DeathCause {
  /** Its time to refute a suspicion ran out. */
  Unrefuted = 'unrefuted',
  /** It was leaving and no longer answers. */
  Left = 'left',
  /** It does not answer and the platform's list no longer has it. */
  Unlisted = 'unlisted',
  /** Word from a peer. */
  Word = 'word',
}

/**
 * A decision of the cluster part, one log line each.
 *
 * @public
 */
export type ClusterEvent =
  | { kind: 'member-joined'; member: string; incarnation: number }
  /** Neither we nor the peers we asked could reach it. */
  | { kind: 'member-suspected'; member: string; incarnation: number }
  | { kind: 'member-refuted'; member: string; incarnation: number }
  | { kind: 'member-leaving'; member: string }
  | { kind: 'member-dead'; member: string; incarnation: number; cause: DeathCause }
  | { kind: 'member-damped'; member: string; penalty: number }
  | { kind: 'member-undamped'; member: string }
  /** Most peers tried did not answer: this daemon's own network is at fault, its view is kept. */
  | { kind: 'cut-off'; tried: number; failed: number }
  | { kind: 'reconnected'; tried: number; failed: number }
  | { kind: 'region-unreachable'; region: string }
  | { kind: 'region-reachable'; region: string }
  /** Peers held a wrong word about this daemon, which it contradicted. */
  | { kind: 'self-refuted'; refutation: number }
  /** Another process with this daemon's id was started later, or its clock runs ahead. */
  | { kind: 'incarnation-raised'; from: number; to: number }
  /** This process did not run for so long; what it missed counts against nobody. */
  | { kind: 'pause-noticed'; span: Milliseconds }
  /** The platform's list lacks this daemon, so it is not believed on who is gone. */
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
