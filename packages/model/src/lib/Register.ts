import type { Milliseconds } from '@apricotrill/utils';

/** What a service runs on: model engines, or an application service. */
export enum ServiceKind {
  Model = 'model',
  Plain = 'plain',
}

/**
 * A service that callers address by name. A model service offers chat completions; requests to a plain
 * service are forwarded by path.
 *
 * @public
 */
export interface Service {
  name: string;
  kind: ServiceKind;
  region: string;
  /** The models that a model service offers; empty for a plain service. */
  models: string[];
  /** Cost of 1,000 generated tokens, in the operators' currency. */
  costPerThousandTokens: number;
  /** Cost of one request, in the operators' currency. */
  costPerRequest: number;
}

/** The phase of a request that an engine handles: prefill, decode or both. */
export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode',
}

/**
 * One running copy of a service with its address: a model engine or a process of a plain service.
 *
 * @public
 */
export interface Replica {
  id: string;
  service: string;
  availabilityZone: string;
  host: string;
  port: number;
  /** Number of requests that the replica can run concurrently at full speed. */
  slots: number;
  /** Whether the engine rejects commands that carry an outdated fencing token. */
  checksFencing: boolean;
  /** The models, adapters and versions to keep loaded on the engine, as `model[:adapter]@version`. */
  placement: string[];
  /** The role to assign to the engine; when absent, its role is left unchanged. */
  role?: EngineRole;
}

/**
 * A customer of the operators, such as a print shop or a self-storage business.
 *
 * @public
 */
export interface Workspace {
  name: string;
  /** SHA-256 of each valid API key, in hexadecimal. */
  apiKeyHashes: string[];
  /** Its share relative to other workspaces in the same tier. */
  weight: number;
}

/**
 * The inventory of services, replicas and workspaces.
 *
 * @public
 */
export interface Register {
  services: Service[];
  replicas: Replica[];
  workspaces: Workspace[];
}

/**
 * The latency that a class promises its callers.
 *
 * @public
 */
export interface LatencyTarget {
  /** Time to the first token, or to the complete response of a plain request. */
  firstToken: Milliseconds;
  /** Longest normal pause between two tokens; zero for plain requests. */
  tokenGap: Milliseconds;
}

/**
 * A class of requests with one latency target and one priority.
 *
 * @public
 */
export interface ServiceClass {
  name: string;
  /** 0 is the most urgent, 5 the least. */
  tier: number;
  target: LatencyTarget;
  /** A request whose response has not started by then is refused. */
  deadline: Milliseconds;
  /** Minimum share of a service's dispatches for this class while it has requests waiting, 0 to 0.2. */
  floor: number;
  /** Whether a running request may be preempted by a more urgent tier and resumed later. */
  preemptible: boolean;
  /** Whether a request may be run a second time; false for holds and payment notices. */
  repeatable: boolean;
}

/**
 * Assigns a class to the requests that match it. Rules are tried in order and the first match decides.
 *
 * @public
 */
export interface ClassRule {
  service: string;
  class: string;
  /** An HTTP method; any method when absent. */
  method?: string;
  /** A path prefix of the request; any path when absent. */
  pathPrefix?: string;
  /** A workspace name; any workspace when absent. */
  workspace?: string;
  /** Matches chat requests that ask for at most this many tokens; any request when absent. */
  maxTokensAtMost?: number;
  /** Matches when the caller asks for this class with the `x-apricotrill-class` header. */
  wishedClass?: string;
}

/**
 * The classes of requests, and the rules that assign requests to them.
 *
 * @public
 */
export interface Rules {
  classes: ServiceClass[];
  classRules: ClassRule[];
}

/**
 * The complete configuration by the operators; it is accepted and applied as a whole.
 *
 * @public
 */
export interface Configuration {
  register: Register;
  rules: Rules;
}
