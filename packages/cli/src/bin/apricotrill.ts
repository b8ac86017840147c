#!/usr/bin/env node
import { userInfo } from 'node:os';
import { HttpPlatformStore } from '@apricotrill/store';
import { SystemClock } from '@apricotrill/utils';
import { Cli } from 'clipanion';
import { createCli } from '../lib/createCli.js';
import { fetchMembers } from '../lib/daemons/fetchMembers.js';

await createCli().runExit(process.argv.slice(2), {
  ...Cli.defaultContext,
  clock: new SystemClock(),
  openStore: (url, timeout) => {
    const store = new HttpPlatformStore({ url, timeout });
    return { store, dispose: () => store.dispose() };
  },
  fetchMembers,
  userName: userInfo().username,
});
