import { readFile } from 'node:fs/promises';
import { getEventTable } from './eventMeanings.js';

const PAGE = new URL('../../../../../docs/OPERATIONS.md', import.meta.url);

describe('eventMeanings', () => {
  it('are listed in the operations documentation', async () => {
    expect(await readFile(PAGE, 'utf8')).toContain(getEventTable());
  });
});
