import type { Configuration } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { Registry } from 'prom-client';
import type { ClaimPort } from '../pipeline/ClaimPort.js';

/**
 * Where a daemon listens.
 *
 * @internal
 */
export interface DaemonPorts {
  /** For callers. */
  port: number;
  /** For the balancer, for metrics and for operators. */
  adminPort: number;
}

/**
 * What a daemon shares with the others, as the request path sees it.
 *
 * @internal
 */
export interface SharedState {
  /**
   * Begins to take part; configurations and news come to the listener from now on.
   *
   * @param ports - where this daemon is reached
   * @returns the port of its mesh, if it has one
   */
  start(listener: SharedStateListener, ports: DaemonPorts): Promise<number | void>;
  /** Adds what control costs to the daemon's metrics; absent where there is no control. */
  addMetrics?(registry: Registry): void;
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
