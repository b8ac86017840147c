import type { RelayWorkspace } from './RelayConfiguration.js';

/** Finds the workspace that a key belongs to. */
export class KeyTable {
  private readonly byKey = new Map<string, RelayWorkspace>();

  constructor(workspaces: readonly RelayWorkspace[]) {
    workspaces.forEach((workspace) => {
      workspace.keys.forEach((key) => this.byKey.set(key, workspace));
    });
  }

  find(key: string | undefined): RelayWorkspace | undefined {
    return key === undefined ? undefined : this.byKey.get(key);
  }
}
