import type { PortOpener } from '@apricotrill/lifecycle';
import type { Configuration } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { Registry } from 'prom-client';
import type { ClaimPort } from '../pipeline/ClaimPort.js';

/**
 * The ports at which a daemon listens.
 *
 * @internal
 */
export interface DaemonPorts {
  /** The port for callers. */
  port: number;
  /** The port for the load balancer, metrics and operators. */
  adminPort: number;
}

/**
 * The state that a daemon shares with its peers, as the request path uses it.
 *
 * @internal
 */
export interface SharedState {
  /**
   * Joins the cluster; configurations and other updates are passed to the listener from now on.
   *
   * @param ports - the ports at which this daemon is reached
   * @param opener - opens the port of its mesh
   * @returns the port of its mesh, if it has one; undefined if the opener was stopped before
   */
  start(
    listener: SharedStateListener,
    ports: DaemonPorts,
    opener: PortOpener,
  ): Promise<number | void>;
  /** Adds metrics of the control traffic to the registry; absent where there is none. */
  addMetrics?(registry: Registry): void;
  /** Claims of non-repeatable requests. */
  claims: ClaimPort;
  /** Announces to peers that a replica has reported to this daemon that it is leaving. */
  announceReplicaLeaving(replica: string): void;
  /** Returns the members, with the generation each has in force. */
  getMembers(): unknown;
  /** Returns the number of other daemons that can serve requests. */
  countPeers(): number;
  /** Returns the generation in force at this daemon; 0 before the first. */
  getGeneration(): number;
  /** Announces that this daemon is shutting down, so that it gets no new duties. */
  announceLeaving(): void;
  /** Hands over the remaining duties to peers; called when no request is in flight any more. */
  handOver(): Promise<void>;
  dispose(): Promise<void>;
}

/**
 * Receives updates of the shared state.
 *
 * @internal
 */
export interface SharedStateListener {
  onConfigurationChange(configuration: Configuration, generation: number): void;
  onDaemonsChange(self: string, daemons: string[]): void;
  /** A peer announced that a replica is leaving; the announcement is valid for `validity`. */
  onReplicaLeaving(replica: string, validity: Milliseconds): void;
}
