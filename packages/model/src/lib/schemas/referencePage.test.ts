import { readFileSync } from 'node:fs';
import { getKeyRows } from '../../test/getKeyRows.js';
import { parseSettings } from '../../index.js';
import { registerSchema } from './registerSchema.js';
import { rulesSchema } from './rulesSchema.js';
import { settingsSchema } from './settingsSchema.js';

const PAGE = readFileSync(new URL('../../../../../docs/CONFIGURATION.md', import.meta.url), 'utf8');

/** The text of a section, up to the next one of the same level. */
function getSection(heading: string): string {
  const [, after = ''] = PAGE.split(`\n## ${heading}\n`);
  return after.split('\n## ')[0]!;
}

/** The rows of the table of keys in a section. */
function getRows(heading: string): string[] {
  return getSection(heading)
    .split('\n')
    .filter((line) => line.startsWith('| `'));
}

describe('docs/CONFIGURATION.md', () => {
  // Symptom: an operator writes what the page says and is refused. Sequence: a key, its form or its
  // default changes in the schema; the page stays as it was. Cause: nothing holds one to the other.
  it.each([
    ['The register', registerSchema],
    ['The rules', rulesSchema],
    ["A daemon's settings", settingsSchema],
  ])('%s: has a row for each key, as the schema has it', (heading, schema) => {
    expect(getRows(heading)).toEqual(getKeyRows(schema));
  });

  it('shows settings that are right', () => {
    const [, example = ''] = getSection("A daemon's settings").split('```jsonc\n');
    expect(parseSettings(example.split('```')[0]!, 'example')).toMatchObject({ ok: true });
  });
});
