import { readFile } from 'node:fs/promises';
import { getEventTable } from './eventMeanings.js';

const PAGE = new URL('../../../../../docs/OPERATIONS.md', import.meta.url);

describe('the operators page', () => {
  it('explains every kind of log line, in the words of the catalogue', async () => {
    expect(await readFile(PAGE, 'utf8')).toContain(getEventTable());
  });
});
