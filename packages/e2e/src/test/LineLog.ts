/** Lines as they come, to be waited for. */
export class LineLog {
  readonly lines: string[] = [];

  private readonly watchers = new Set<(line: string) => void>();

  add(line: string): void {
    this.lines.push(line);
    [...this.watchers].forEach((watcher) => watcher(line));
  }

  /** Waits for a line that has come or will come. */
  waitFor(isIt: (line: string) => boolean): Promise<string> {
    const known = this.lines.find(isIt);
    if (known !== undefined) {
      return Promise.resolve(known);
    }
    return new Promise((resolve) => {
      const watcher = (line: string) => {
        if (isIt(line)) {
          this.watchers.delete(watcher);
          resolve(line);
        }
      };
      this.watchers.add(watcher);
    });
  }
}
