import { HttpPlatformStore, MemoryPlatformStore, StoreUnavailableError } from '@apricotrill/store';
import type { PlatformStore, StoreFault, StoredObject } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import fc from 'fast-check';
import { createPlatformStandin } from './PlatformStandin.js';

const RUNS = Number(process.env.FUZZ_RUNS ?? 40);

/** The expected state: the objects, and how many responses to writes will be lost. */
interface StoreModel {
  objects: Map<string, StoredObject>;
  deletions: Map<string, number>;
  lastVersion: number;
  isDown: boolean;
  answersToLose: number;
}

/** A store under test with fault injection. */
interface FaultyStore {
  store: PlatformStore;
  applyFault: (fault: StoreFault) => Promise<void>;
}

type StoreCommand = fc.AsyncCommand<StoreModel, FaultyStore>;

type Run = (model: StoreModel, real: FaultyStore) => Promise<void>;

const KEYS = ['a', 'a/b', 'b ü?', 'config/x'];

function createStoreModel(): StoreModel {
  return {
    objects: new Map(),
    deletions: new Map(),
    lastVersion: 0,
    isDown: false,
    answersToLose: 0,
  };
}

function sortByKey(objects: StoredObject[]): StoredObject[] {
  return objects.sort((left, right) => (left.key < right.key ? -1 : 1));
}

function getChanges(model: StoreModel, prefix: string, after: number) {
  const deleted = [...model.deletions].map(([key, version]) => ({ key, version }));
  return [...model.objects.values(), ...deleted]
    .filter(({ key, version }) => key.startsWith(prefix) && version > after)
    .sort((left, right) => left.version - right.version);
}

/** Expects the answer, or an error while the platform is down. */
async function expectAnswer(model: StoreModel, call: Promise<unknown>, answer: unknown) {
  if (model.isDown) {
    await expect(call).rejects.toThrow(StoreUnavailableError);
  } else {
    expect(await call).toEqual(answer);
  }
}

function createCommand(name: string, run: Run): StoreCommand {
  return { check: () => true, run, toString: () => name };
}

/** Applies a write, or a deletion without a value, to the model and returns its expected result. */
function applyWrite(
  model: StoreModel,
  key: string,
  value: string | undefined,
  expectedVersion: number,
) {
  const current = model.objects.get(key);
  const isMissing = value === undefined && current === undefined;
  if (isMissing || (current?.version ?? 0) !== expectedVersion) {
    return { kind: 'conflict', current };
  }
  const version = model.lastVersion + 1;
  Object.assign(model, { lastVersion: version });
  if (value === undefined) {
    model.objects.delete(key);
    model.deletions.set(key, version);
  } else {
    model.objects.set(key, { key, value, version });
    model.deletions.delete(key);
  }
  return { kind: 'accepted', version };
}

function createWrite(key: string, value: string | undefined, staleness: number): StoreCommand {
  return createCommand(`write ${key}, ${staleness} too old`, async (model, { store }) => {
    const expected = Math.max(0, (model.objects.get(key)?.version ?? 0) - staleness);
    const isDeletion = value === undefined;
    const call = isDeletion ? store.delete(key, expected) : store.put(key, value, expected);
    const isLost = !model.isDown && model.answersToLose > 0;
    const outcome = model.isDown ? undefined : applyWrite(model, key, value, expected);
    if (isLost) {
      Object.assign(model, { answersToLose: model.answersToLose - 1 });
      await expect(call).rejects.toThrow(StoreUnavailableError);
    } else {
      await expectAnswer(model, call, outcome);
    }
  });
}

function createRead(key: string, age: number): StoreCommand {
  return createCommand(`read ${key}, last ${age} versions`, async (model, { store }) => {
    await expectAnswer(model, store.get(key), model.objects.get(key));
    const listed = [...model.objects.values()].filter((object) => object.key.startsWith(key));
    await expectAnswer(model, store.list(key), sortByKey(listed));
    const after = model.lastVersion - age;
    const changes = getChanges(model, key, after);
    if (changes.length > 0) {
      await expectAnswer(model, store.watch(key, after), changes);
    }
  });
}

function createFault(kind: 'down' | 'up' | 'lose-answers'): StoreCommand {
  return createCommand(kind, async (model, { applyFault }) => {
    if (kind === 'lose-answers') {
      await applyFault({ kind, count: 1 });
      Object.assign(model, { answersToLose: model.answersToLose + 1 });
    } else {
      await applyFault({ kind });
      const answersToLose = kind === 'up' ? 0 : model.answersToLose;
      Object.assign(model, { isDown: kind === 'down', answersToLose });
    }
  });
}

/** Creates random calls and faults; each call is checked against the model. */
function createStoreCommands(): fc.Arbitrary<Iterable<StoreCommand>> {
  const key = fc.constantFrom(...KEYS);
  const value = fc.option(fc.string({ unit: 'grapheme' }), { nil: undefined, freq: 4 });
  const staleness = fc.constantFrom(0, 0, 0, 1, 2);
  return fc.commands(
    [
      fc.tuple(key, value, staleness).map((parts) => createWrite(...parts)),
      fc.tuple(key, fc.nat({ max: 6 })).map((parts) => createRead(...parts)),
      fc.constantFrom('down' as const, 'up' as const, 'lose-answers' as const).map(createFault),
    ],
    { maxCommands: 40 },
  );
}

async function postFault(url: string, fault: StoreFault): Promise<void> {
  const answer = await fetch(`${url}/faults`, { method: 'POST', body: JSON.stringify(fault) });
  expect(answer.status).toBe(200);
}

async function runAgainstStandin(commands: Iterable<StoreCommand>): Promise<void> {
  const platform = createPlatformStandin();
  const { host, port } = await platform.listen();
  const url = `http://${host}:${port}`;
  const store = new HttpPlatformStore({ url });
  const real = { store, applyFault: (fault: StoreFault) => postFault(url, fault) };
  try {
    await fc.asyncModelRun(() => ({ model: createStoreModel(), real }), commands);
  } finally {
    await store.dispose();
    await platform.dispose();
  }
}

async function runInMemory(commands: Iterable<StoreCommand>): Promise<void> {
  const store = new MemoryPlatformStore({ clock: new ManualClock() });
  const real = { store, applyFault: async (fault: StoreFault) => store.applyFault(fault) };
  await fc.asyncModelRun(() => ({ model: createStoreModel(), real }), commands);
}

describe('stores compared with a model, with outages and lost responses', () => {
  it('HttpPlatformStore with the stand-in behaves like the model', async () => {
    const property = fc.asyncProperty(createStoreCommands(), runAgainstStandin);
    await fc.assert(property, { seed: 1, numRuns: RUNS });
  });

  it('MemoryPlatformStore behaves like the model', async () => {
    const property = fc.asyncProperty(createStoreCommands(), runInMemory);
    await fc.assert(property, { seed: 1, numRuns: 5 * RUNS });
  });
});
