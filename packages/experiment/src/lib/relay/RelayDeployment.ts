import type { Milliseconds } from '@apricotrill/utils';
import type { NoiseParameters } from './MachineNoise.js';

/** A prompt part that requests of one kind share. */
export interface SharedPromptPart {
  /** Mean length of the part. */
  tokens: number;
  /** Number of different texts that the part can have. */
  variants: number;
}

/** A kind of request, with its load, targets and sizes. */
export interface RequestKind {
  name: string;
  /** Requests per second, summed over all daemons. */
  rate: number;
  service: 'engines' | 'application';
  /** Priority of its route; 0 is the most urgent. */
  priority: number;
  latencyTarget: Milliseconds;
  /** Longest acceptable inter-token pause; absent for responses that are not streamed. */
  pauseTarget?: Milliseconds;
  timeout: Milliseconds;
  maxAttempts: number;
  repeatable: boolean;
  /** Value of a response that meets its targets, and of one that is late. */
  worth: number;
  lateWorth: number;
  /** Shared prompt parts, in the order of the prompt; empty for plain requests. */
  parts: SharedPromptPart[];
  /** Mean number of prompt tokens that no other request shares; the actual numbers vary widely. */
  uniqueTokens: number;
  /** Mean number of output tokens. */
  outputTokens: number;
  /** Mean time that a plain request occupies a slot of its replica. */
  serviceTime: Milliseconds;
}

/** Capacity and speed of a simulated engine. */
export interface EngineParameters {
  slots: number;
  memoryTokens: number;
  /** Duration of a step of an idle engine, without prefill. */
  baseStepTime: Milliseconds;
  /** Added to each step per thousand tokens of context of the running requests. */
  stepTimePerThousandTokens: Milliseconds;
  /** Prefill speed, in tokens per millisecond. */
  prefillRate: number;
  /** Added prefill time per million pairs of a computed token and a token before it. */
  attentionTimePerMillionPairs: Milliseconds;
  /** Maximum number of prompt tokens that one step prefills. */
  prefillChunkTokens: number;
  /** Time from the arrival of a request until the engine can schedule it. */
  setupTime: Milliseconds;
  /** Output tokens in each event of the response stream. */
  eventTokens: number;
  /** Time to copy the cache of one token from another engine. */
  copyTime: Milliseconds;
  /** Fixed time that each copy takes in addition. */
  copySetupTime: Milliseconds;
}

/** Workspaces with a common priority. */
export interface WorkspaceGroup {
  /** Absent if it does not matter. */
  name?: string;
  /** 0 is the most urgent; undefined if the workspaces state none. */
  priority: number | undefined;
  /** Share of all requests that these workspaces send. */
  share: number;
}

/** A period in which more requests arrive. */
export interface Burst {
  startsAt: Milliseconds;
  duration: Milliseconds;
  /** Multiplies the usual rate. */
  rateFactor: number;
  /** Name of the kind that it applies to; absent for all kinds. */
  kind?: string;
}

/** A crash of several engines: they are down for a period and lose their requests and caches. */
export interface Crash {
  startsAt: Milliseconds;
  duration: Milliseconds;
  /** Number of engines that crash. */
  engines: number;
}

/** A period in which several engines turn all requests away and ask the daemons for a backoff. */
export interface BackoffPeriod {
  startsAt: Milliseconds;
  duration: Milliseconds;
  /** Number of engines. */
  engines: number;
  /** The backoff that they ask for. */
  span: Milliseconds;
}

/** A period in which some daemons are partitioned from all replicas, and still reach the others. */
export interface Partition {
  startsAt: Milliseconds;
  duration: Milliseconds;
  /** Number of daemons. */
  daemons: number;
  /** Time until a partitioned daemon has its attempts forwarded by others; undefined if it never does. */
  detection: Milliseconds | undefined;
}

/** A period in which requests arrive whose prompts have a part that crashes engines. */
export interface CrashingPart {
  startsAt: Milliseconds;
  duration: Milliseconds;
  /** Index of the part in the prompts, in place of a shared part of sound requests. */
  position: number;
  /** Requests per second, no two of which are alike. */
  rate: number;
  /** Time from a crash until a new engine starts at the same address. */
  restartTime: Milliseconds;
}

/** A period in which a load balancer hands most requests to one daemon. */
export interface DaemonPreference {
  startsAt: Milliseconds;
  duration: Milliseconds;
  daemon: number;
  /** Share of all requests. */
  share: number;
}

/** A deployment and the load of one simulated day. */
export interface RelayDeployment {
  name: string;
  daemons: number;
  availabilityZones: number;
  engines: EngineParameters;
  /** One entry per engine: the factor by which its steps take longer than the parameters say. */
  engineSlowdowns: number[];
  /**
   * Spells in which replicas are slow because others use their machines, which they state with their
   * load; absent if they have machines of their own.
   */
  noise?: NoiseParameters;
  /** Software versions of the engines, in turn; absent if all have the same. */
  engineVersions?: readonly [string, ...string[]];
  applications: { replicas: number; slots: number };
  kinds: RequestKind[];
  /** The shares add up to 1. */
  workspaces: WorkspaceGroup[];
  bursts: Burst[];
  crashes: Crash[];
  /** Absent if daemons are never partitioned from the replicas. */
  partition?: Partition;
  /** Absent if no part of a prompt crashes engines. */
  crashingPart?: CrashingPart;
  /** Absent if the load balancer spreads requests evenly. */
  preference?: DaemonPreference;
  /** Absent if engines never ask for a backoff. */
  backoffs?: BackoffPeriod[];
  /** When the first engine starts to state in its responses that it leaves; absent if none does. */
  firstEngineLeavesAt?: Milliseconds;
  duration: Milliseconds;
  /** One-way network delay between availability zones. */
  crossZoneDelay: Milliseconds;
}
