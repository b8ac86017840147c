import { createHash } from 'node:crypto';
import type { Workspace } from '../Register.js';

/**
 * Returns the hash under which the register stores an API key: SHA-256 in hexadecimal. The hash needs
 * no salt, because keys are long and random and cannot be found by brute force.
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
 * Finds the workspace of an API key. The look-up takes constant time for any number of workspaces and
 * uses the hash of the key, so that its duration reveals nothing about valid keys.
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

  /** Returns the workspace that owns the key, or undefined when the key is unknown. */
  getWorkspace(apiKey: string): Workspace | undefined {
    return this.byHash.get(getApiKeyHash(apiKey));
  }
}
