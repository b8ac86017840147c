import { readFileSync } from 'node:fs';
import { getKeyRows } from '../../test/getKeyRows.js';
import { parseSettings } from '../../index.js';
import { registerSchema } from './registerSchema.js';
import { rulesSchema } from './rulesSchema.js';
import { settingsSchema } from './settingsSchema.js';

const PAGE = readFileSync(new URL('../../../../../docs/CONFIGURATION.md', import.meta.url), 'utf8');

/** Returns the text of a section, up to the next heading of the same level. */
function getSection(heading: string): string {
  const [, after = ''] = PAGE.split(`\n## ${heading}\n`);
  return after.split('\n## ')[0]!;
}

/** Returns the table rows that describe keys in a section. */
function getRows(heading: string): string[] {
  return getSection(heading)
    .split('\n')
    .filter((line) => line.startsWith('| `'));
}

describe('docs/CONFIGURATION.md', () => {
  // Guards against a reference page that goes stale when a key, its type or its default changes in the
  // schema: operators who follow the page would have their files refused.
  it.each([
    ['The register', registerSchema],
    ['The rules', rulesSchema],
    ["A daemon's settings", settingsSchema],
  ])('%s: has a row for each key that agrees with the schema', (heading, schema) => {
    expect(getRows(heading)).toEqual(getKeyRows(schema));
  });

  it('shows an example of valid settings', () => {
    const [, example = ''] = getSection("A daemon's settings").split('```jsonc\n');
    expect(parseSettings(example.split('```')[0]!, 'example')).toMatchObject({ ok: true });
  });
});
