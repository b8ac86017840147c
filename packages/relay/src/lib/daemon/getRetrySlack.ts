/**
 * A daemon doesn't know how many others share the slack. Of the deployments in sight the largest
 * has some eighty, and a slack that grows with it.
 */
const LARGEST_FLEET = 80;

/** This daemon's part of the repeats that all may send beyond the ratio. */
export function getRetrySlack(slack: number): number {
  return Math.max(1, Math.floor(slack / LARGEST_FLEET));
}
