/** Collects log lines and lets tests wait for a matching one. */
export class LineLog {
  readonly lines: string[] = [];

  private readonly watchers = new Set<(line: string) => void>();

  add(line: string): void {
    this.lines.push(line);
    [...this.watchers].forEach((watcher) => watcher(line));
  }

  /** Waits for a matching line, past or future. */
  waitFor(matches: (line: string) => boolean): Promise<string> {
    const known = this.lines.find(matches);
    if (known !== undefined) {
      return Promise.resolve(known);
    }
    return new Promise((resolve) => {
      const watcher = (line: string) => {
        if (matches(line)) {
          this.watchers.delete(watcher);
          resolve(line);
        }
      };
      this.watchers.add(watcher);
    });
  }
}
