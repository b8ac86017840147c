import type { ScalingLimits } from '@apricotrill/duties';
import type { Milliseconds } from '@apricotrill/utils';

/** How often a request may run, and how its response is delivered. */
export enum RouteKind {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  Once = 'once',
  /** The response is a stream of events. May run at most once, unless the route is resumable. */
  Stream = 'stream',
}

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  service: string;
  /** Its share, relative to the sum of the route's weights. */
  weight: number;
}

/**
 * A route: the services for requests with a host and path prefix, and the rules that apply to them.
 *
 * @public
 */
export interface RelayRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** For streams: another replica can continue a broken response after the last complete event. */
  resumable: boolean;
  /** Maximum time until the last byte of the response. */
  timeout: Milliseconds;
  /** Target for the time until the response, or until its first event for streams. */
  latencyTarget: Milliseconds;
  /** Target for the maximum pause between events; absent for other kinds. */
  pauseTarget?: Milliseconds;
  /** 0 is the most urgent. */
  priority: number;
  /** Maximum number of replicas that a request may be sent to. */
  maxAttempts: number;
  /** Whether callers need no key. */
  isPublic: boolean;
  targets: RouteTarget[];
}

/**
 * Properties of a model service's engines, used until the first load report.
 *
 * @public
 */
export interface EngineProfile {
  /** Maximum number of concurrent requests in an engine. */
  slots: number;
  /** Size of the KV-cache memory in tokens, shared by running requests and cached prompts. */
  memoryTokens: number;
  /** Maximum number of concurrent listeners to the cache events of an engine. */
  cacheListeners: number;
  /** Number of tokens per stream event. */
  eventTokens: number;
  /** Time to copy the cache of one token from another engine; absent if copies are not supported. */
  copyTime?: Milliseconds;
}

/** @public */
export interface RelayService {
  name: string;
  healthPath: string;
  /** Maximum number of connections to a replica, across all daemons. */
  maxConnections: number;
  /** Present for services whose replicas are model engines. */
  engine?: EngineProfile;
  /** Present for services whose number of replicas can be scaled. */
  scaling?: ScalingLimits;
}

/** @public */
export interface RelayWorkspace {
  name: string;
  keys: string[];
  /** Order among requests of equal route priority; 0 is the most urgent. */
  priority?: number;
}

/** Limits that apply to each caller. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeout: Milliseconds;
  /** Maximum idle time of a connection between two requests. */
  idleTimeout: Milliseconds;
}

/**
 * A version of the complete configuration.
 *
 * @public
 */
export interface RelayConfiguration {
  /** Increases with every change. */
  version: number;
  routes: RelayRoute[];
  services: RelayService[];
  /** Absent if callers need no keys. */
  workspaces?: RelayWorkspace[];
  limits: CallerLimits;
}

/**
 * A replica: one run of a backend server, from its start to its end. A restart creates another replica.
 *
 * After a restart under the same name, the server has no cached prompts and no requests in flight, and
 * is neither slow nor suspect any longer. If it were treated as the same replica, it would receive
 * requests whose prompts it no longer has cached, or no requests at all.
 *
 * @public
 */
export interface RelayReplica {
  /** Unique to this run; all state about the replica is stored under this id. */
  id: string;
  /** The name stated by the replica, which may be the same after a restart. */
  name: string;
  /** Start time in Unix milliseconds by the replica's clock; absent if it is not stated. */
  startedAt?: number;
  service: string;
  /** Version of its software; a stream goes on only at the version that began it. */
  softwareVersion: string;
  /** IP address and port, as in `10.0.0.1:80`. */
  address: string;
  availabilityZone: string;
  slots: number;
  isDraining: boolean;
  /** Whether the platform may terminate it at short notice; absent if it is not stated. */
  isPreemptible?: boolean;
  /** Remaining time of the warm-up after its start, during which it is slow. */
  warmupLeft: Milliseconds;
}
