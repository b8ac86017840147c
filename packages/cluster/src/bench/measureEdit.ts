import { createHash } from 'node:crypto';
import type { Configuration, Replica, Workspace } from '@apricotrill/model';
import { encodeResponse as encodeBody } from '@apricotrill/mesh';
import { createManifestResponse } from '../lib/ConfigurationDistributor/createFetchResponses.js';
import { defaultClusterOptions } from '../lib/clusterOptions.js';
import { encodeResponse } from '../lib/codec/messageCodec.js';
import { ManifestHistory } from '../lib/ManifestHistory/ManifestHistory.js';
import { createManifestFrom } from './createManifest.js';

const REPLICAS = 6900;
const WORKSPACES = 3500;

function createReplica(index: number, slots: number): Replica {
  return {
    id: `replica-${index}`,
    service: `service-${index % 40}`,
    availabilityZone: `zone-${index % 16}`,
    host: `10.1.${index % 250}.${Math.floor(index / 250)}`,
    port: 8000,
    slots,
    checksFencing: true,
    placement: [`model-${index % 21}@3`],
  };
}

function createWorkspace(index: number): Workspace {
  const name = `workspace-${index}`;
  return { name, apiKeyHashes: [createHash('sha256').update(name).digest('hex')], weight: 1 };
}

/** The register of the size expected in two years; an edit changes the slots of one replica. */
function createConfiguration(slots: number): Configuration {
  const replicas = Array.from({ length: REPLICAS }, (_, index) =>
    createReplica(index, index === 0 ? slots : 16),
  );
  const workspaces = Array.from({ length: WORKSPACES }, (_, index) => createWorkspace(index));
  return {
    register: { services: [], replicas, workspaces },
    rules: { classes: [], classRules: [] },
  };
}

/** Measures the bytes that a peer sends another for one edit of that register, and for all of it. */
export function measureEdit() {
  const [before, after] = [1, 2].map((generation) =>
    createManifestFrom(createConfiguration(generation), generation),
  );
  const history = new ManifestHistory();
  history.add(before!.manifest);
  const { manifest, parts } = after!;
  const texts = new Map(parts.map(({ hash, text }) => [hash, text]));
  const snapshot = { manifest, parts: texts, configuration: createConfiguration(2) };
  const getBytes = (held: number) => {
    const getTransfer = () => history.createTransfer(manifest, held);
    const response = createManifestResponse(
      snapshot,
      held,
      getTransfer,
      defaultClusterOptions.maxPartPageBytes,
    );
    return encodeBody(encodeResponse(response)).length;
  };
  const all = encodeBody(encodeResponse({ kind: 'parts', generation: 2, parts: texts })).length;
  return {
    parts: parts.length,
    'bytes of an edit': getBytes(1),
    'bytes of a whole manifest': getBytes(0),
    'bytes of all parts': all,
  };
}
