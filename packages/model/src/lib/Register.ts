import type { Milliseconds } from '@apricotrill/utils';

/** What stands behind a service: a model engine, or a plain application service. */
export enum ServiceKind {
  Model = 'model',
  Plain = 'plain',
}

/**
 * A service that callers ask for by name: a model service speaks chat completions, a plain one is
 * reached by path.
 *
 * @public
 */
export interface Service {
  name: string;
  kind: ServiceKind;
  region: string;
  /** The models a model service serves; empty for a plain service. */
  models: string[];
  /** What 1,000 generated tokens cost, in the operators' currency. */
  costPerThousandTokens: number;
  /** What one call costs, in the operators' currency. */
  costPerRequest: number;
}

/** Which part of a request an engine works on. */
export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode',
}

/**
 * One copy of a service at an address: a model engine or a process of a plain service.
 *
 * @public
 */
export interface Replica {
  id: string;
  service: string;
  availabilityZone: string;
  host: string;
  port: number;
  /** How many requests the replica runs at once at full speed. */
  slots: number;
  /** Whether its engine refuses an order that carries an old fencing number. */
  checksFencing: boolean;
  /** The models, adapters and versions placement should keep loaded here, as `model[:adapter]@version`. */
  placement: string[];
  /** The role placement should give its engine; left as it is when absent. */
  role?: EngineRole;
}

/**
 * A customer of the operators: a print shop, a self-storage business.
 *
 * @public
 */
export interface Workspace {
  name: string;
  /** SHA-256 of each valid API key, in hexadecimal. */
  apiKeyHashes: string[];
  /** Its share against other workspaces of the same tier. */
  weight: number;
}

/**
 * The operators' inventory.
 *
 * @public
 */
export interface Register {
  services: Service[];
  replicas: Replica[];
  workspaces: Workspace[];
}

/**
 * What a class promises its callers.
 *
 * @public
 */
export interface LatencyTarget {
  /** Time to the first token, or to the whole answer of a plain call. */
  firstToken: Milliseconds;
  /** The longest usual gap between two tokens; zero for plain calls. */
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
  /** A request that has not started its answer by then is refused. */
  deadline: Milliseconds;
  /** The least share of a service's dispatches this class gets while it waits, 0 to 0.2. */
  floor: number;
  /** Whether a running request may be stopped for a more urgent tier and resumed later. */
  preemptible: boolean;
  /** Whether a request may be run again; false for holds and payment notices. */
  repeatable: boolean;
}

/**
 * Which class a request belongs to. Rules are tried in order; the first that matches decides.
 *
 * @public
 */
export interface ClassRule {
  service: string;
  class: string;
  /** An HTTP method; any when absent. */
  method?: string;
  /** A path prefix at the service; any when absent. */
  pathPrefix?: string;
  /** A workspace name; any when absent. */
  workspace?: string;
  /** Matches a chat request that asks for at most this many tokens; any when absent. */
  maxTokensAtMost?: number;
  /** Matches when the caller wishes for this class by the `x-apricotrill-class` header. */
  wishedClass?: string;
}

/**
 * The operators' rules on class, priority and cost.
 *
 * @public
 */
export interface Rules {
  classes: ServiceClass[];
  classRules: ClassRule[];
}

/**
 * Everything operators decide, as it is accepted and put in force as a whole.
 *
 * @public
 */
export interface Configuration {
  register: Register;
  rules: Rules;
}
