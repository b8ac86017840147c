import type { Milliseconds } from '@apricotrill/utils';

/** The work that one attempt requests from a replica. */
export type Work =
  | {
      kind: 'chat';
      promptTokens: number;
      /** Hash of the prompt prefix; prompts with the same prefix have the same hash. */
      prefixHash: number;
      prefixTokens: number;
      answerTokens: number;
      /** Number of tokens delivered to the caller already; the answer resumes after them. */
      resumeAt: number;
    }
  | { kind: 'plain'; serviceTime: Milliseconds };

/** One attempt, as submitted to a replica. */
export interface Job {
  /** Id of the request and number of the attempt, joined by a slash. */
  key: string;
  /** 0 is the highest priority. */
  priority: number;
  work: Work;
}

/** What a replica has computed for one job since its previous output. */
export interface JobOutput {
  key: string;
  /** Tokens, or 1 for the whole answer of a plain call. */
  units: number;
  finished: boolean;
}

/** Number of jobs at a replica, as the replica counts them. */
export interface Load {
  running: number;
  waiting: number;
}

/**
 * A model of a backend server without sockets, driven by the given clock.
 *
 * @public
 */
export interface ReplicaModel {
  /** @returns false when the replica refuses the job without running it */
  submit(job: Job): boolean;
  /** Cancels a job; what is computed for it until the running step ends is discarded. */
  cancel(key: string): void;
  getLoad(): Load;
  /** Multiplies the duration of all work by `factor`; 1 is full speed. */
  setSlowFactor(factor: number): void;
  /**
   * Discards all jobs and caches, like a crash of the process.
   *
   * @returns the keys of the lost jobs
   */
  crash(): string[];
}

/** Called with the outputs that a replica has computed. */
export type OutputListener = (outputs: JobOutput[]) => void;
