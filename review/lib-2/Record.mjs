import { writeFileSync } from 'node:fs';

const MILLISECONDS_PER_SECOND = 1_000;

/** What was sent, answered and run, with the time since the start. */
// eslint-disable-next-line import-x/prefer-default-export -- as in all of this project
export class Record {
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedAt = Date.now();
  }

  write(text) {
    const after = (Date.now() - this.startedAt) / MILLISECONDS_PER_SECOND;
    this.lines.push(`${after.toFixed(3)} ${text}\n`);
  }

  save() {
    writeFileSync(this.file, this.lines.join(''));
  }
}
