/** Values of one label: some more than the routes, workspaces or engines of today's deployments. */
export const MOST_LABELS = 100;

const OTHERS = 'other';

/**
 * Bounds the values of a label. A configuration may bring thousands of routes, and each value of a
 * label is kept in memory and sent with every scrape; the first ones keep their names, the rest
 * share one.
 */
export class LabelSet {
  private readonly names = new Set<string>();

  get(name: string): string {
    if (this.names.has(name)) {
      return name;
    }
    if (this.names.size >= MOST_LABELS) {
      return OTHERS;
    }
    this.names.add(name);
    return name;
  }
}
