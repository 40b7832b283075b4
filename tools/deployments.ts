/** The two deployments of the brief at their present size, as descriptions. */
import * as z from 'zod';

import {
  classSchema,
  releaseNoteSchema,
  routeSchema,
  type ReleaseNote,
} from '../source/configuration/index.js';

/** Endpoints of one kind, spread over the availability zones in turn. */
export interface EndpointGroup {
  readonly pool: string;
  readonly kind: 'engine' | 'service';
  readonly count: number;
  readonly slots: number;
  /** How many of them are cheap. */
  readonly cheap: number;
}

/** What is to be started and configured. */
export interface Deployment {
  readonly name: 'consorzio' | 'munteco';
  readonly region: string;
  readonly zones: readonly string[];
  readonly hosts: number;
  readonly teams: ReadonlyArray<{
    readonly name: string;
    readonly weight: number;
  }>;
  readonly groups: readonly EndpointGroup[];
  readonly classes: ReadonlyArray<z.input<typeof classSchema>>;
  readonly routes: ReadonlyArray<z.input<typeof routeSchema>>;
}

const CONSORZIO: Deployment = {
  name: 'consorzio',
  region: 'sicily',
  zones: ['palermo', 'catania', 'siracusa'],
  hosts: 7,
  teams: [
    {name: 'guides-palermo', weight: 4},
    {name: 'pursers-messina', weight: 3},
    {name: 'stallholders-catania', weight: 3},
    {name: 'guides-siracusa', weight: 1},
    {name: 'guides-agrigento', weight: 1},
    {name: 'guides-taormina', weight: 1},
    {name: 'pursers-trapani', weight: 1},
    {name: 'stallholders-ballaro', weight: 1},
    {name: 'stallholders-vucciria', weight: 1},
    {name: 'editors', weight: 2},
  ],
  groups: [
    {pool: 'drafting', kind: 'engine', count: 6, slots: 16, cheap: 2},
    {pool: 'register', kind: 'service', count: 3, slots: 32, cheap: 0},
  ],
  classes: [
    {name: 'counter', tier: 1, floorShare: 0.05},
    {name: 'revision', tier: 1, floorShare: 0.05},
    {name: 'lookup', tier: 2, floorShare: 0.05},
    {
      name: 'drafting',
      tier: 3,
      firstTokenTarget: 10_000,
      betweenTokensTarget: 200,
      queueBound: 30_000,
      cheapShare: 0.9,
    },
  ],
  routes: [
    {
      name: 'suggestions',
      kind: 'chat',
      model: 'phrase-suggestion',
      engineModel: 'siculo-8b',
      pool: 'drafting',
      class: 'counter',
      repeatable: true,
    },
    {
      name: 'drafts',
      kind: 'chat',
      model: 'glossary-drafting',
      engineModel: 'siculo-8b',
      pool: 'drafting',
      class: 'drafting',
      repeatable: true,
    },
    {
      name: 'revisions',
      kind: 'service',
      path: '/register',
      methods: ['POST'],
      pool: 'register',
      class: 'revision',
    },
    {
      name: 'lookups',
      kind: 'service',
      path: '/register',
      methods: ['GET', 'HEAD'],
      pool: 'register',
      class: 'lookup',
      repeatable: true,
    },
  ],
};

const MUNTECO: Deployment = {
  name: 'munteco',
  region: 'be-central',
  zones: ['brussel-a', 'brussel-b', 'brussel-c'],
  hosts: 6,
  teams: [
    {name: 'kiosks-gent', weight: 4},
    {name: 'kiosks-brussel', weight: 4},
    {name: 'kiosks-luik', weight: 3},
    {name: 'kiosks-aalst', weight: 1},
    {name: 'kiosks-leuven', weight: 1},
    {name: 'kiosks-mechelen', weight: 1},
    {name: 'kiosks-namen', weight: 1},
    {name: 'kiosks-hasselt', weight: 1},
    {name: 'kiosks-tienen', weight: 1},
    {name: 'back-office', weight: 1},
  ],
  groups: [
    {pool: 'kiosk', kind: 'engine', count: 13, slots: 12, cheap: 4},
    {pool: 'ledger', kind: 'service', count: 3, slots: 32, cheap: 0},
  ],
  classes: [
    {name: 'kiosk', tier: 1, floorShare: 0.05, cheapShare: 0.3},
    {name: 'credit', tier: 1, floorShare: 0.05},
    {name: 'balance', tier: 2, firstTokenTarget: 300, floorShare: 0.05},
    {
      name: 'report',
      tier: 3,
      firstTokenTarget: 10_000,
      betweenTokensTarget: 200,
      queueBound: 30_000,
      cheapShare: 0.9,
    },
  ],
  routes: [
    {
      name: 'assistant',
      kind: 'chat',
      model: 'kiosk-assistant',
      engineModel: 'munt-8b',
      pool: 'kiosk',
      class: 'kiosk',
      repeatable: true,
    },
    {
      name: 'reports',
      kind: 'chat',
      model: 'slip-reports',
      engineModel: 'munt-8b',
      pool: 'kiosk',
      class: 'report',
      repeatable: true,
    },
    {
      name: 'credits',
      kind: 'service',
      path: '/credits',
      methods: ['POST'],
      pool: 'ledger',
      class: 'credit',
    },
    {
      name: 'balances',
      kind: 'service',
      path: '/balances',
      methods: ['GET'],
      pool: 'ledger',
      class: 'balance',
      repeatable: true,
    },
  ],
};

export const DEPLOYMENTS: Readonly<Record<Deployment['name'], Deployment>> = {
  consorzio: CONSORZIO,
  munteco: MUNTECO,
};

/** One endpoint to start. */
export interface PlannedEndpoint {
  readonly name: string;
  readonly zone: string;
  readonly group: EndpointGroup;
  readonly cheap: boolean;
}

/** The endpoints of a deployment, with their availability zones. */
export function plannedEndpoints(deployment: Deployment): PlannedEndpoint[] {
  const {zones, groups} = deployment;
  return groups.flatMap(group =>
    Array.from({length: group.count}, (_, index) => ({
      name: `${group.pool}-${index + 1}`,
      zone: zones[index % zones.length] ?? '',
      group,
      cheap: index >= group.count - group.cheap,
    })),
  );
}

/** A key’s digest with the team that it is for. */
export interface PlannedKey {
  readonly team: string;
  readonly digest: string;
}

/** The release note that configures a deployment. */
export function firstNote(
  deployment: Deployment,
  addresses: ReadonlyMap<string, string>,
  keys: readonly PlannedKey[],
): ReleaseNote {
  const {region, zones, teams, classes, routes} = deployment;
  return releaseNoteSchema.parse({
    id: `${deployment.name}-first`,
    added: {
      zones: zones.map(name => ({name, region})),
      teams,
      keys: keys.map(({team, digest}) => ({
        name: `${team}-first`,
        team,
        digest,
      })),
      classes,
      routes,
      endpoints: plannedEndpoints(deployment).map(
        ({name, zone, group, cheap}) => ({
          name,
          zone,
          address: addresses.get(name),
          pool: group.pool,
          kind: group.kind,
          slots: group.slots,
          cheap,
        }),
      ),
    },
  });
}
