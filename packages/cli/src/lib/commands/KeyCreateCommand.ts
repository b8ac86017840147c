import { randomBytes } from 'node:crypto';
import { getApiKeyHash } from '@apricotrill/model';
import { Command } from 'clipanion';
import { ExitCode } from '../ExitCode.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';

/** Too many to guess or to search by the hash. */
const KEY_BYTES = 32;
/** Makes a key recognisable, for people and for scanners of leaked secrets. */
const KEY_PREFIX = 'apricotrill_';

/** `apricotrill key create` */
export class KeyCreateCommand extends OperatorCommand {
  static override paths = [['key', 'create']];

  static override usage = Command.Usage({
    category: 'Edit',
    description: 'make a new API key and its hash',
    details: `
      Prints a new random API key and its SHA-256 hash. Give the key to the workspace and put the
      hash into its \`apiKeyHashes\` in the register. The key is kept nowhere: it cannot be shown
      again. A workspace may have several hashes, so that a key can be replaced without a gap.
    `,
    examples: [['Make a key', '$0 key create']],
  });

  protected async run(): Promise<Report> {
    const key = `${KEY_PREFIX}${randomBytes(KEY_BYTES).toString('base64url')}`;
    const hash = getApiKeyHash(key);
    this.note('Give the key to the workspace, and put the hash into its apiKeyHashes.');
    const lines = [`key   ${key}`, `hash  ${hash}`];
    return { exitCode: ExitCode.Done, lines, value: { key, hash } };
  }
}
