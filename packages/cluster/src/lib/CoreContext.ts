import type { Clock, Random } from '@apricotrill/utils';
import type { ClusterCounters } from './ClusterCounters.js';
import type { ClusterEvent } from './ClusterEvent.js';
import type { ClusterOptions } from './clusterOptions.js';
import type { EmitEffect } from './coreMessages.js';

/** What every part of the core is handed. */
export interface CoreContext {
  clock: Clock;
  random: Random;
  options: ClusterOptions;
  counters: ClusterCounters;
  emit: EmitEffect;
}

/** Emits a decision record. */
export function decide({ emit }: CoreContext, decision: ClusterEvent): void {
  emit({ kind: 'decision', decision });
}

/** A span that differs from daemon to daemon, so that they don't act in step: within a quarter. */
export function jitter({ random }: CoreContext, span: number): number {
  const SPREAD = 0.25;
  return span * (1 - SPREAD + 2 * SPREAD * random.next());
}

/** Picks up to `count` of the items at random. */
export function pickSome<Item>(
  { random }: CoreContext,
  items: readonly Item[],
  count: number,
): Item[] {
  const left = [...items];
  const picked: Item[] = [];
  while (left.length > 0 && picked.length < count) {
    picked.push(...left.splice(random.integer(left.length), 1));
  }
  return picked;
}
