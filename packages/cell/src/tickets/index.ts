export {startWithTickets} from './arrived-tickets.js';
export {TicketUse, type TicketCounts} from './ticket-use.js';
