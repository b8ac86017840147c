import type { Manifest, PartReference } from '@apricotrill/configuration';
import type { Milliseconds } from '@apricotrill/utils';
import type { MemberRecord, MemberState } from './Member.js';

/** The messages between daemons. `codec/` encodes them compactly for the wire. */

/**
 * The load of a daemon, or of a whole availability zone, for one service.
 *
 * @public
 */
export interface ServiceLoad {
  service: string;
  /** Requests in flight at backend servers. */
  running: number;
  /** Requests waiting for admission. */
  waiting: number;
  /** Requests rejected since the last load message. */
  refused: number;
}

/** A new state of a member without the rest of its record, for peers that know it. */
export interface MemberStateUpdate {
  id: string;
  incarnation: number;
  refutation: number;
  state: MemberState.Suspect | MemberState.Dead;
}

/** A notice that a backend server is leaving. */
export interface ReplicaNotice {
  replica: string;
  /** How long the notice is still valid; relative, since the clocks of daemons differ. */
  remaining: Milliseconds;
}

/** The summed load of an availability zone. */
export interface ZoneLoadReport {
  availabilityZone: string;
  /** Increases with each report, including when another daemon takes over reporting. */
  version: number;
  /** How many daemons' loads are in the sum. */
  daemons: number;
  services: readonly ServiceLoad[];
}

/** An update that is gossiped from daemon to daemon. */
export type Rumour =
  | { kind: 'member'; record: MemberRecord }
  | { kind: 'member-state'; update: MemberStateUpdate }
  | { kind: 'replica-leaving'; notice: ReplicaNotice }
  | { kind: 'zone-load'; report: ZoneLoadReport };

/** A step that derives a manifest's list of parts from that of a base generation. */
export type PartsDeltaStep =
  /** Copies `count` parts of the base, beginning at index `start`. */
  { kind: 'keep'; start: number; count: number } | { kind: 'add'; part: PartReference };

/** A manifest's list of parts as a delta to one that the receiver holds. The order matters. */
export interface PartsDelta {
  baseGeneration: number;
  steps: PartsDeltaStep[];
}

/** A manifest as sent between daemons: whole, or as a delta to one that the receiver holds. */
export type ManifestTransfer =
  | { kind: 'whole'; manifest: Manifest }
  | { kind: 'delta'; header: Omit<Manifest, 'parts' | 'recent'>; delta: PartsDelta };

/** The texts of configuration parts by their hash. */
export type PartTexts = ReadonlyMap<string, string>;

/** A request to a peer. Every request carries the sender's active generation. */
export type PeerRequest =
  /** Names the member that it is for, since another daemon may have taken over the address. */
  | { kind: 'ping'; generation: number; member: string; rumours: readonly Rumour[] }
  | {
      kind: 'indirect-ping';
      generation: number;
      member: string;
      address: string;
      rumours: readonly Rumour[];
    }
  | { kind: 'gossip'; generation: number; rumours: readonly Rumour[] }
  /** Anti-entropy: the sender's record hashes by bucket; the response begins at `startBucket`. */
  | {
      kind: 'sync';
      generation: number;
      sender: MemberRecord;
      startBucket: number;
      bucketHashes: Uint8Array;
    }
  | { kind: 'fetch-manifest'; generation: number }
  | { kind: 'fetch-parts'; generation: number; hashes: readonly string[] }
  | { kind: 'load'; generation: number; services: readonly ServiceLoad[] };

/** A response to a peer. Every response carries the sender's active generation. */
export type PeerResponse =
  /** To `ping`, `gossip` and `load`; to an indirect ping if the target responded. */
  | { kind: 'ack'; generation: number; rumours: readonly Rumour[] }
  /**
   * To a ping that is meant for another member, to an indirect ping if the target did not respond,
   * and to a manifest fetch if there is no higher generation.
   */
  | { kind: 'nack'; generation: number }
  | {
      kind: 'sync-page';
      generation: number;
      /** All records of the differing buckets, from `startBucket` up to `nextBucket`. */
      records: readonly MemberRecord[];
      notices: readonly ReplicaNotice[];
      /** The bucket to resume from; -1 if all buckets were compared. */
      nextBucket: number;
    }
  | { kind: 'manifest'; generation: number; transfer: ManifestTransfer; parts: PartTexts }
  | { kind: 'parts'; generation: number; parts: PartTexts };
