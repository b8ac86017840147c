import type { Configuration } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimPort } from '../pipeline/ClaimPort.js';

/**
 * What a daemon shares with the others, as the request path sees it.
 *
 * @internal
 */
export interface SharedState {
  /** Begins to take part; configurations and news come to the listener from now on. */
  start(listener: SharedStateListener): Promise<void>;
  /** Claims on requests that may not be repeated. */
  claims: ClaimPort;
  /** A replica told this daemon that it is leaving: let the others know. */
  tellReplicaLeaving(replica: string): void;
  /** The members and the generation each has in force. */
  getMembers(): unknown;
  /** The generation in force here; 0 before the first. */
  getGeneration(): number;
  /** This daemon begins to shut down: it gets no new duties. */
  announceLeaving(): void;
  /** Nothing is in flight any more: gives the duties it still has to others. */
  handOver(): Promise<void>;
  dispose(): Promise<void>;
}

/**
 * What the request path wants to know.
 *
 * @internal
 */
export interface SharedStateListener {
  onConfiguration(configuration: Configuration, generation: number): void;
  onDaemons(self: string, daemons: string[]): void;
  /** Word that a replica is leaving; it holds for `span`. */
  onReplicaLeaving(replica: string, span: Milliseconds): void;
}
