import { createHash } from 'node:crypto';
import type { Configuration, Replica, Workspace } from '@apricotrill/model';
import { encodeResponse as encodeBody } from '@apricotrill/mesh';
import { getManifestAnswer } from '../lib/ConfigurationSpread/getFetchAnswers.js';
import { defaultClusterOptions } from '../lib/clusterOptions.js';
import { encodeAnswer } from '../lib/codec/messageCodec.js';
import { ManifestHistory } from '../lib/ManifestHistory/ManifestHistory.js';
import { createManifestOf } from './createManifest.js';

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

/** The two-year register; an edit changes the slots of one replica. */
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

/** Bytes by which a peer brings another one edit of the two-year register, and all of it. */
export function measureEdit() {
  const [before, after] = [1, 2].map((generation) =>
    createManifestOf(createConfiguration(generation), generation),
  );
  const history = new ManifestHistory();
  history.add(before!.manifest);
  const { manifest, parts } = after!;
  const texts = new Map(parts.map(({ hash, text }) => [hash, text]));
  const inForce = { manifest, parts: texts, configuration: createConfiguration(2) };
  const getBytes = (held: number) => {
    const getTransfer = () => history.getTransfer(manifest, held);
    const answer = getManifestAnswer(
      inForce,
      held,
      getTransfer,
      defaultClusterOptions.partPageBytes,
    );
    return encodeBody(encodeAnswer(answer)).length;
  };
  const all = encodeBody(encodeAnswer({ kind: 'parts', generation: 2, parts: texts })).length;
  return {
    parts: parts.length,
    'bytes of an edit': getBytes(1),
    'bytes of a whole manifest': getBytes(0),
    'bytes of all parts': all,
  };
}
