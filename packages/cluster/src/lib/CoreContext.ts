import type { Clock, Random } from '@apricotrill/utils';
import type { ClusterCounters } from './ClusterCounters.js';
import type { ClusterEvent } from './ClusterEvent.js';
import type { ClusterOptions } from './clusterOptions.js';
import type { EmitEffect } from './coreMessages.js';

/** What all components of the core share. */
export interface CoreContext {
  clock: Clock;
  random: Random;
  options: ClusterOptions;
  counters: ClusterCounters;
  emit: EmitEffect;
}

/** Emits an event for the log. */
export function emitEvent({ emit }: CoreContext, event: ClusterEvent): void {
  emit({ kind: 'decision', event });
}

/**
 * Varies a duration at random by up to a quarter in either direction, so that daemons don't act in
 * lockstep.
 */
export function addJitter({ random }: CoreContext, duration: number): number {
  const MAX_DEVIATION = 0.25;
  return duration * (1 - MAX_DEVIATION + 2 * MAX_DEVIATION * random.next());
}

/** Picks up to `count` items at random, without repetition. */
export function pickRandom<Item>(
  { random }: CoreContext,
  items: readonly Item[],
  count: number,
): Item[] {
  const remaining = [...items];
  const picked: Item[] = [];
  while (remaining.length > 0 && picked.length < count) {
    picked.push(...remaining.splice(random.integer(remaining.length), 1));
  }
  return picked;
}
