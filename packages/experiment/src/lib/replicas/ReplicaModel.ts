import type { Milliseconds } from '@apricotrill/utils';

/** What one attempt asks of a replica. */
export type Work =
  | {
      kind: 'chat';
      promptTokens: number;
      /** Prompts that share a head share this hash. */
      prefixHash: number;
      prefixTokens: number;
      answerTokens: number;
      /** Tokens the caller already has: the answer goes on after them. */
      resumeAt: number;
    }
  | { kind: 'plain'; serviceTime: Milliseconds };

/** One attempt as a replica sees it. */
export interface Job {
  /** The request's id and the attempt's number. */
  key: string;
  /** 0 is the most urgent. */
  priority: number;
  work: Work;
}

/** What a replica computed for one job since it last said so. */
export interface JobOutput {
  key: string;
  /** Tokens, or 1 for the whole answer of a plain call. */
  units: number;
  finished: boolean;
}

/** How busy a replica is, by its own count. */
export interface Load {
  running: number;
  waiting: number;
}

/**
 * A backend server without sockets, moved by the clock handed in.
 *
 * @public
 */
export interface ReplicaModel {
  /** @returns false when the replica refuses the job without running it */
  submit(job: Job): boolean;
  /** Stops a job; what it computes until the running step ends is lost. */
  cancel(key: string): void;
  getLoad(): Load;
  /** Makes everything take `factor` times as long; 1 is full speed. */
  setSlowFactor(factor: number): void;
  /**
   * Drops every job and everything cached, as a crashed process does.
   *
   * @returns the keys of the jobs that were lost
   */
  crash(): string[];
}

/** Hears what a replica computed. */
export type OutputListener = (outputs: JobOutput[]) => void;
