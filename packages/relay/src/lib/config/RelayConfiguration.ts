import type { ScalingLimits } from '@apricotrill/duties';
import type { Milliseconds } from '@apricotrill/utils';

/** What may happen to a request more than once. */
export enum RouteKind {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run once at most. */
  Once = 'once',
  /** Answered by a series of events; may run once at most, unless the route can be resumed. */
  Stream = 'stream',
}

/** A service that takes a part of a route's requests. */
export interface RouteTarget {
  service: string;
  /** Its part, against the sum of all weights of the route. */
  weight: number;
}

/**
 * Where requests with a certain host and path go, and what may be done with them.
 *
 * @public
 */
export interface RelayRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** For streams: a broken answer may go on at another replica after the last whole event. */
  resumable: boolean;
  /** The longest time that a request may be kept without its last byte. */
  timeout: Milliseconds;
  /** An answer (for streams: its first event) within this time is worth most. */
  latencyTarget: Milliseconds;
  /** The longest pause between events that still counts as in time; absent for other kinds. */
  pauseTarget?: Milliseconds;
  /** 0 is the most urgent. */
  priority: number;
  /** How many replicas one request may be sent to. */
  maxAttempts: number;
  /** Needs no key. */
  isPublic: boolean;
  targets: RouteTarget[];
}

/**
 * What is known of a model service's engines before any of them has reported.
 *
 * @public
 */
export interface EngineProfile {
  /** Requests that run at once in one engine. */
  slots: number;
  /** Tokens that running requests and cached prompts share. */
  memoryTokens: number;
  /** How many callers of one engine's cache events may wait at once. */
  cacheListeners: number;
  /** Tokens of one event of a stream. */
  eventTokens: number;
  /** How long one engine takes to copy a token of another's memory; absent where it can't. */
  copyTime?: Milliseconds;
}

/** @public */
export interface RelayService {
  name: string;
  healthPath: string;
  /** Connections that one replica takes, from all daemons together. */
  maxConnections: number;
  /** Present for services whose replicas are model engines. */
  engine?: EngineProfile;
  /** Present for services whose replicas can be ordered. */
  scaling?: ScalingLimits;
}

/** @public */
export interface RelayWorkspace {
  name: string;
  keys: string[];
  /** Goes before the priority of the route; 0 is the most urgent. */
  priority?: number;
}

/** What one caller may use. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeout: Milliseconds;
  /** A kept connection may rest this long between two requests. */
  idleTimeout: Milliseconds;
}

/**
 * One version of what operators want, whole.
 *
 * @public
 */
export interface RelayConfiguration {
  /** Only grows. */
  version: number;
  routes: RelayRoute[];
  services: RelayService[];
  /** Absent where callers need no keys. */
  workspaces?: RelayWorkspace[];
  limits: CallerLimits;
}

/**
 * One life of a backend server, from its start to its end; a restart is another replica.
 *
 * What goes wrong otherwise: a replica that starts again under its old name holds none of the
 * prompts it had read, is neither slow nor suspect any more, and has nothing under way. Believed to
 * be the one before, it gets prompts for which it has nothing, or nothing at all.
 *
 * @public
 */
export interface RelayReplica {
  /** Of this life alone: what is believed of a replica is kept under it, and ends with it. */
  id: string;
  /** What the replica calls itself; the next life may have the same. */
  name: string;
  /** When this life began, in Unix milliseconds by the replica's clock; absent where it doesn't say. */
  startedAt?: number;
  service: string;
  /** IP address and port, as in `10.0.0.1:80`. */
  address: string;
  availabilityZone: string;
  slots: number;
  isDraining: boolean;
  /** Whether the platform may take it back at short notice; absent where it doesn't say. */
  isPreemptible?: boolean;
  /** How much longer it works slowly after its start. */
  warmupLeft: Milliseconds;
}
