import { randomBytes } from 'node:crypto';
import { getApiKeyHash } from '@apricotrill/model';
import { Command } from 'clipanion';
import { ExitCode } from '../ExitCode.js';
import { OperatorCommand } from '../OperatorCommand.js';
import type { Report } from '../Report.js';

/** Long enough that a key can be neither guessed nor found from its hash by search. */
const KEY_BYTES = 32;
/** Makes keys recognizable to people and to scanners for leaked secrets. */
const KEY_PREFIX = 'apricotrill_';

/** `apricotrill key create` */
export class KeyCreateCommand extends OperatorCommand {
  static override paths = [['key', 'create']];

  static override usage = Command.Usage({
    category: 'Edit',
    description: 'create an API key and its hash',
    details: `
      Prints a new random API key and its SHA-256 hash. Give the key to the workspace and add the
      hash to its \`apiKeyHashes\` in the register. The key is not stored anywhere and cannot be
      shown again. A workspace may have several hashes, so that a key can be replaced without an
      interruption.
    `,
    examples: [['Create a key', '$0 key create']],
  });

  protected async run(): Promise<Report> {
    const key = `${KEY_PREFIX}${randomBytes(KEY_BYTES).toString('base64url')}`;
    const hash = getApiKeyHash(key);
    this.printProgress('Give the key to the workspace, and add the hash to its apiKeyHashes.');
    const lines = [`key   ${key}`, `hash  ${hash}`];
    return { exitCode: ExitCode.Done, lines, value: { key, hash } };
  }
}
