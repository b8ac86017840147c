import type { Manifest, PartReference } from '@apricotrill/configuration';
import type { Milliseconds } from '@apricotrill/utils';
import type { MemberRecord, MemberState } from './Member.js';

/** The messages between daemons. `codec/` gives them their compact form on the wire. */

/**
 * What one daemon's, or one zone's, work at a service comes to.
 *
 * @public
 */
export interface ServiceLoad {
  service: string;
  /** Requests running at backend servers. */
  running: number;
  /** Requests waiting for admission. */
  waiting: number;
  /** Requests refused since the last digest. */
  refused: number;
}

/** A member's state in a few bytes, for peers that know the rest. */
export interface Verdict {
  id: string;
  incarnation: number;
  refutation: number;
  state: MemberState.Suspect | MemberState.Dead;
}

/** Word that a backend server is leaving. */
export interface ReplicaNotice {
  replica: string;
  /** How long the word still holds; relative, since the daemons' clocks differ. */
  remaining: Milliseconds;
}

/** The summed load of an availability zone. */
export interface ZoneLoadReport {
  availabilityZone: string;
  /** Grows with each report, also when another daemon takes over reporting. */
  version: number;
  daemons: number;
  services: readonly ServiceLoad[];
}

/** A piece of news that passes from daemon to daemon. */
export type Rumour =
  | { kind: 'member'; record: MemberRecord }
  | { kind: 'verdict'; verdict: Verdict }
  | { kind: 'replica-leaving'; notice: ReplicaNotice }
  | { kind: 'zone-load'; report: ZoneLoadReport };

/** One step in writing a manifest's list of parts from a base's. */
export type PartStep =
  /** Takes `count` parts of the base from `start` on. */
  { kind: 'keep'; start: number; count: number } | { kind: 'add'; part: PartReference };

/** A manifest's list of parts, against one the receiver holds. Its order counts. */
export interface PartsDelta {
  baseGeneration: number;
  steps: PartStep[];
}

/** A manifest as it passes between daemons: whole, or against what the receiver holds. */
export type ManifestTransfer =
  | { kind: 'whole'; manifest: Manifest }
  | { kind: 'delta'; head: Omit<Manifest, 'parts' | 'recent'>; delta: PartsDelta };

/** The texts of parts. */
export type PartTexts = ReadonlyMap<string, string>;

/** What one daemon asks another. Every request carries the sender's generation in force. */
export type PeerRequest =
  /** Another daemon may have the address by now, so the request names whom it is for. */
  | { kind: 'ping'; generation: number; member: string; rumours: readonly Rumour[] }
  | {
      kind: 'ping-through';
      generation: number;
      member: string;
      address: string;
      rumours: readonly Rumour[];
    }
  | { kind: 'gossip'; generation: number; rumours: readonly Rumour[] }
  /** Compare views: hashes of the sender's records by bucket; answer from bucket `start` on. */
  | { kind: 'sync'; generation: number; self: MemberRecord; start: number; buckets: Uint8Array }
  | { kind: 'fetch-manifest'; generation: number }
  | { kind: 'fetch-parts'; generation: number; hashes: readonly string[] }
  | { kind: 'load'; generation: number; services: readonly ServiceLoad[] };

/** What a daemon answers. */
export type PeerAnswer =
  /** To `ping`, `gossip` and `load`; to `ping-through` when the target answered. */
  | { kind: 'ack'; generation: number; rumours: readonly Rumour[] }
  /**
   * To a ping for somebody else, to `ping-through` when the member did not answer, to a fetch when
   * there is nothing to give.
   */
  | { kind: 'nothing'; generation: number }
  | {
      kind: 'sync-page';
      generation: number;
      /** All records of the buckets that differ, from `start` up to `next`. */
      records: readonly MemberRecord[];
      notices: readonly ReplicaNotice[];
      /** Where to go on; -1 when all buckets were compared. */
      next: number;
    }
  | { kind: 'manifest'; generation: number; transfer: ManifestTransfer; parts: PartTexts }
  | { kind: 'parts'; generation: number; parts: PartTexts };
