import { createHash } from 'node:crypto';
import type { Workspace } from '../Register.js';

/**
 * The form in which the register keeps an API key: SHA-256 in hexadecimal. Keys are random and
 * long, so that a hash without salt cannot be searched.
 *
 * @example
 * ```ts
 * const workspace = { name: 'painola', apiKeyHashes: [getApiKeyHash(key)], weight: 1 };
 * ```
 * @public
 */
export function getApiKeyHash(apiKey: string): string {
  return createHash('sha256').update(apiKey, 'utf8').digest('hex');
}

/**
 * Finds the workspace of an API key. The look-up takes the same time for one workspace as for
 * thousands, and works on the key's hash: how long it takes tells a guesser nothing about a key.
 *
 * @example
 * ```ts
 * const directory = new WorkspaceDirectory(register.workspaces);
 * const workspace = directory.getWorkspace(apiKey);
 * ```
 * @public
 */
export class WorkspaceDirectory {
  private readonly byHash = new Map<string, Workspace>();

  constructor(workspaces: readonly Workspace[]) {
    workspaces.forEach((workspace) => {
      workspace.apiKeyHashes.forEach((hash) => this.byHash.set(hash, workspace));
    });
  }

  /** The workspace that owns the key, or undefined when nobody does. */
  getWorkspace(apiKey: string): Workspace | undefined {
    return this.byHash.get(getApiKeyHash(apiKey));
  }
}
