import type { SharedState } from '@apricotrill/router';

/** The interface through which a daemon claims keys. */
export type ClaimPort = SharedState['claims'];

type ClaimVerdict = Awaited<ReturnType<ClaimPort['claim']>>;
type ClaimRequest = Parameters<ClaimPort['claim']>[0];
type ClaimEnd = Parameters<Extract<ClaimVerdict, { kind: 'granted' }>['end']>[0];

/** In-memory claims of a single daemon. */
export class MemoryClaims implements ClaimPort {
  /** How each claim ended, or `running` if it has not ended yet. */
  readonly ends = new Map<string, ClaimEnd | { kind: 'running' }>();

  claim({ key }: ClaimRequest): Promise<ClaimVerdict> {
    const known = this.ends.get(key);
    switch (known?.kind) {
      case 'running':
        return Promise.resolve({ kind: 'in-progress' });
      case 'answered':
      case 'unknown':
        return Promise.resolve(known);
      default:
        this.ends.set(key, { kind: 'running' });
        return Promise.resolve({ kind: 'granted', end: (end) => this.ends.set(key, end) });
    }
  }
}
