import { WorkspaceDirectory, getApiKeyHash } from '../../index.js';

describe('WorkspaceDirectory', () => {
  it('finds the workspace of each registered key, and none for other keys', () => {
    const painola = { name: 'painola', weight: 1, apiKeyHashes: ['a', 'b'].map(getApiKeyHash) };
    const kehys = { name: 'kehys', weight: 1, apiKeyHashes: [getApiKeyHash('c')] };
    const directory = new WorkspaceDirectory([painola, kehys]);
    expect(['a', 'b', 'c', 'd', ''].map((key) => directory.getWorkspace(key)?.name)).toEqual([
      'painola',
      'painola',
      'kehys',
      undefined,
      undefined,
    ]);
  });
});
