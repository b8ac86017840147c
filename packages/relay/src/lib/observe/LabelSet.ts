/** Maximum number of values of a label; above the number of routes, workspaces or engines in use. */
export const MAX_LABELS = 100;

const OTHER_LABEL = 'other';

/**
 * Limits the number of values of a metric label. A configuration can contain thousands of routes, and
 * each label value is kept in memory and sent with every scrape. The first values are kept; all others
 * share a single one.
 */
export class LabelSet {
  private readonly names = new Set<string>();

  get(name: string): string {
    if (this.names.has(name)) {
      return name;
    }
    if (this.names.size >= MAX_LABELS) {
      return OTHER_LABEL;
    }
    this.names.add(name);
    return name;
  }
}
