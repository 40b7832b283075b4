/** Prompts and bodies written for the two deployments. */
import type {Deployment} from './deployments.js';

/** A kind of request that the quickstart makes. */
export interface Kind {
  readonly className: string;
  /** Share of the requests. */
  readonly share: number;
  readonly chat?: {readonly model: string; readonly prompts: readonly string[]};
  readonly service?: {
    readonly method: 'GET' | 'POST';
    readonly path: string;
    /** Whether each request is to run once, and is counted in the ledger. */
    readonly once: boolean;
  };
}

const GLOSSARY =
  'Glossary of the Sicilian counter, letters A to C: àutru, autru: other. ' +
  'abbanniari: to cry one’s wares. annacarisi: to sway, to dawdle. ' +
  'babbiari: to jest. cacocciula: artichoke. camurrìa: a nuisance. ';

const CONSORZIO: readonly Kind[] = [
  {
    className: 'counter',
    share: 0.35,
    chat: {
      model: 'phrase-suggestion',
      prompts: [
        'A guide asks how to say that the cathedral closes at noon.',
        'A purser must tell passengers that the Lipari ferry is late.',
        'A stallholder at Ballarò wants to offer a taste of tuma cheese.',
        'How does one greet an elderly visitor at the counter?',
      ],
    },
  },
  {
    className: 'drafting',
    share: 0.2,
    chat: {
      model: 'glossary-drafting',
      prompts: [
        `${GLOSSARY}Draft a revised entry for camurrìa, with two examples.`,
        `${GLOSSARY}Draft a revised entry for abbanniari for market use.`,
        `${GLOSSARY}Merge the two spellings of àutru into one entry.`,
      ],
    },
  },
  {
    className: 'revision',
    share: 0.2,
    service: {method: 'POST', path: '/register/revisions', once: true},
  },
  {
    className: 'lookup',
    share: 0.25,
    service: {method: 'GET', path: '/register/entries/camurria', once: false},
  },
];

const MUNTECO: readonly Kind[] = [
  {
    className: 'kiosk',
    share: 0.45,
    chat: {
      model: 'kiosk-assistant',
      prompts: [
        'Waarom wordt mijn munt van twee pond niet aangenomen?',
        'Pourquoi la machine rejette-t-elle cette pièce suisse ?',
        'Warum wird meine Münze zurückgegeben?',
        'Lees mijn stortingsbewijs voor: 14 munten, 23,40 euro.',
        'Relisez mon bordereau : douze pièces, 18,20 euros.',
        'Bitte lesen Sie meinen Einzahlungsbeleg vor: 31,50 Euro.',
      ],
    },
  },
  {
    className: 'report',
    share: 0.1,
    chat: {
      model: 'slip-reports',
      prompts: [
        'Summarise the rejected coins of the Gent kiosks of last week.',
      ],
    },
  },
  {
    className: 'credit',
    share: 0.2,
    service: {method: 'POST', path: '/credits', once: true},
  },
  {
    className: 'balance',
    share: 0.25,
    service: {method: 'GET', path: '/balances/member-118', once: false},
  },
];

/** The kinds of requests of a deployment. */
export const KINDS: Readonly<Record<Deployment['name'], readonly Kind[]>> = {
  consorzio: CONSORZIO,
  munteco: MUNTECO,
};
